#include "base/Base.h"

#include <cassert>
#include <cctype>

namespace hyssop::base {

const std::string &Settings::text(std::string_view flag) const
{
    const auto it = m_values.find(flag);
    assert(it != m_values.end() && "setting read without being declared in the builder");
    return it->second;
}

std::int64_t Settings::number(std::string_view flag) const
{
    return std::stoll(text(flag));
}

Millis Settings::millis(std::string_view flag) const
{
    return Millis(number(flag));
}

bool Settings::isOn(std::string_view flag) const
{
    return text(flag) == "true";
}

Endpoint Settings::endpoint(std::string_view flag) const
{
    return parseEndpoint(text(flag)).value_or(Endpoint());
}

std::vector<Endpoint> Settings::endpoints(std::string_view flag) const
{
    std::vector<Endpoint> endpoints;
    std::string_view rest = text(flag);
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        if (const auto it = parseEndpoint(rest.substr(0, comma)))
            endpoints.push_back(*it);
        rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
    return endpoints;
}

std::string environmentName(std::string_view flag)
{
    std::string name = "HYSSOPSPAN_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

} // namespace hyssop::base
