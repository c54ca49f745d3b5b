#include "Parser.h"

#include <boost/beast/http/impl/basic_parser.ipp>
#include <boost/beast/http/status.hpp>

#include <fmt/format.h>

namespace hyssop::gateway {

template class Parser<true>;
template class Parser<false>;

std::string statusLine(int status)
{
    const auto reason =
            boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(reason));
}

void appendFields(std::string &out, const Fields &fields)
{
    for (const Field &field : fields) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

} // namespace hyssop::gateway
