#include "gateway/Gateway.h"

#include <algorithm>
#include <array>

namespace hyssop::gateway {

namespace {

/// Hop-by-hop fields (RFC 9110, 7.6.1) and fields that frame the body.
constexpr std::array<std::string_view, 10> kNonForwardedFields{
        "connection",        "keep-alive", "proxy-connection", "te",     "trailer",
        "transfer-encoding", "upgrade",    "content-length",   "expect", "proxy-authenticate"};

/// Returns whether the comma-separated \a list contains \a name.
bool isListed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (equalsIgnoreCase(item, name))
            return true;
        list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
    }
    return false;
}

} // namespace

Fields endToEndFields(const Fields &fields)
{
    Fields result;
    result.reserve(fields.size());
    for (const Field &field : fields) {
        const bool isNonForwarded =
                std::any_of(kNonForwardedFields.begin(), kNonForwardedFields.end(),
                            [&field](auto name) { return equalsIgnoreCase(field.name, name); });
        const bool isListedInConnection =
                std::any_of(fields.begin(), fields.end(), [&field](const Field &other) {
                    return equalsIgnoreCase(other.name, "connection")
                           && isListed(other.value, field.name);
                });
        if (!isNonForwarded && !isListedInConnection)
            result.push_back(field);
    }
    return result;
}

std::string_view callFailureName(CallFailure failure)
{
    switch (failure) {
    case CallFailure::ConnectFailed:
        return "connect_failed";
    case CallFailure::ConnectTimeout:
        return "connect_timeout";
    case CallFailure::ConnectionClosed:
        return "closed";
    case CallFailure::ResponseTruncated:
        return "broken";
    case CallFailure::InvalidResponse:
        return "malformed";
    case CallFailure::ResponseTimeout:
        return "answer_timeout";
    case CallFailure::UnidentifiedResponse:
        return "unidentified";
    }
    return "unknown";
}

} // namespace hyssop::gateway
