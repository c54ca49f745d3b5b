#include "http1/Http1.h"

#include <boost/beast/http/impl/basic_parser.ipp>
#include <boost/beast/http/status.hpp>

#include <fmt/format.h>

#include <strings.h>

namespace hyssop::http1 {

template class Parser<true>;
template class Parser<false>;

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string_view> fieldValue(const Fields &fields, std::string_view name)
{
    for (const Field &field : fields) {
        if (equalsIgnoreCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

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

} // namespace hyssop::http1
