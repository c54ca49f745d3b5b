/// Syntax of HTTP/1.1 messages, for the servers and clients of this project.
///
/// Everything works on bytes in memory. Nothing here is thread-safe.
#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::http1 {

/// A header field.
struct Field
{
    std::string name; ///< Keeps its case. Comparisons ignore case.
    std::string value;
};

using Fields = std::vector<Field>;

/// Returns the value of the first field called \a name, or nothing.
std::optional<std::string_view> fieldValue(const Fields &fields, std::string_view name);
/// Compares two field names or tokens, ignoring case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Incremental parser of one HTTP request or response.
///
/// Beast validates syntax and framing, including conflicting lengths. This class also rejects
/// statuses that are none, and collects the parsed parts.
template <bool IsRequest>
class Parser final : public boost::beast::http::basic_parser<IsRequest>
{
    using Base = boost::beast::http::basic_parser<IsRequest>;
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

public:
    Parser()
    {
        this->eager(true);
        // Without a limit, Beast 1.74 refuses every body that has a length.
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    std::string method;
    std::string target;
    int version = 11; ///< Ten times the HTTP version of a request.
    int status = 0;
    Fields fields;
    std::string body; ///< Parsed bytes that were not taken out yet.
    std::optional<std::uint64_t> length;

private:
    /// Bounds of status codes (RFC 9110, 15).
    static constexpr int kMinStatus = 100;
    static constexpr int kMaxStatus = 599;
    static constexpr int kSwitchingProtocols = 101;
    /// Smaller bodies arrive in a few parts.
    static constexpr std::uint64_t kMinReservedBytes = std::uint64_t(64) << 10;

    void on_request_impl(boost::beast::http::verb, string_view name, string_view text,
                         int requestVersion, error_code &) override
    {
        version = requestVersion;
        method = std::string(name);
        target = std::string(text);
    }
    void on_response_impl(int code, string_view, int, error_code &ec) override
    {
        status = code;
        // Beast accepts any three digits. Requests here never ask to switch protocols.
        if (code < kMinStatus || code > kMaxStatus || code == kSwitchingProtocols)
            ec = boost::beast::http::error::bad_status;
    }
    void on_field_impl(boost::beast::http::field, string_view name, string_view value,
                       error_code &) override
    {
        fields.push_back({std::string(name), std::string(value)});
    }
    void on_header_impl(error_code &) override { }
    void on_body_init_impl(boost::optional<std::uint64_t> const &size, error_code &) override
    {
        if (!size)
            return;
        length = *size;
        // Spares copies as the body grows. Responses are taken out in parts instead.
        if (IsRequest && *size > kMinReservedBytes)
            body.reserve(*size);
    }
    std::size_t on_body_impl(string_view data, error_code &) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view data, error_code &) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }
    void on_finish_impl(error_code &) override { }
};

extern template class Parser<true>;
extern template class Parser<false>;

/// Parses from the front of \a bytes and removes what was parsed. Returns false and sets \a ec on a
/// syntax error or an exceeded limit.
template <bool IsRequest>
bool feed(Parser<IsRequest> &parser, std::string &bytes, boost::beast::error_code &ec)
{
    while (!bytes.empty() && !parser.is_done()) {
        const auto n = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
        bytes.erase(0, n);
        if (ec == boost::beast::http::error::need_more) {
            ec = {};
            return true;
        }
        if (ec)
            return false;
        if (n == 0)
            return true;
    }
    return true;
}

/// Returns the first line of a response.
std::string statusLine(int status);
/// Appends header fields to \a out, without the empty line that ends them.
void appendFields(std::string &out, const Fields &fields);

} // namespace hyssop::http1
