#include "http/Http.h"

namespace hyssop::http {

std::string_view methodName(Method method)
{
    switch (method) {
    case Method::Get:
        return "GET";
    case Method::Post:
        return "POST";
    case Method::Put:
        return "PUT";
    case Method::Delete:
        return "DELETE";
    case Method::Other:
        break;
    }
    return "OTHER";
}

std::string_view headerValue(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

std::string Request::queryValue(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return std::string(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return {};
}

std::string_view rejectReasonName(RejectReason reason)
{
    switch (reason) {
    case RejectReason::BodyTooLarge:
        return "body_too_large";
    case RejectReason::LengthRequired:
        return "length_required";
    case RejectReason::BodyTimeout:
        return "body_timeout";
    case RejectReason::HeadersTooLong:
        return "headers_too_long";
    case RejectReason::MemoryShort:
        return "memory_short";
    }
    return "unknown";
}

std::string_view callFailureName(CallFailure failure)
{
    switch (failure) {
    case CallFailure::ConnectFailed:
        return "connect_failed";
    case CallFailure::ConnectTimeout:
        return "connect_timeout";
    case CallFailure::Timeout:
        return "timeout";
    case CallFailure::ClosedEarly:
        return "closed_early";
    case CallFailure::InvalidResponse:
        return "invalid_response";
    }
    return "unknown";
}

} // namespace hyssop::http
