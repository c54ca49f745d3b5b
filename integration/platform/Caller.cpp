#include "Caller.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <sstream>

namespace hyssop::harness {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// A body in two chunks.
std::string chunked(const std::string &body)
{
    const std::size_t half = body.size() / 2;
    std::string text;
    for (const std::string &it : {body.substr(0, half), body.substr(half)}) {
        if (!it.empty())
            text += fmt::format("{:x}\r\n{}\r\n", it.size(), it);
    }
    return text + "0\r\n\r\n";
}

} // namespace

class Caller::Impl
{
public:
    Impl(const base::Endpoint &to, base::Millis limit)
        : m_socket(m_io)
    {
        boost::system::error_code ec = boost::asio::error::would_block;
        m_socket.async_connect({boost::asio::ip::make_address(to.address), to.port},
                               [&ec](boost::system::error_code result) { ec = result; });
        waitFor(ec, limit);
        m_isOpen = !ec;
    }

    bool isOpen() const { return m_isOpen; }

    Reply call(const std::string &method, const std::string &target, const CallOptions &options)
    {
        const std::string body = options.isChunked ? chunked(options.body) : options.body;
        const std::string framing = options.isChunked
                                            ? std::string("Transfer-Encoding: chunked")
                                            : fmt::format("Content-Length: {}", body.size());
        const std::string request = fmt::format(
                "{} {} HTTP/1.1\r\nHost: site.example\r\n{}{}{}\r\n\r\n{}", method, target,
                options.closes ? "Connection: close\r\n" : "", options.fields, framing, body);
        Reply reply;
        if (!m_isOpen)
            return reply;
        const base::TimePoint until = base::monotonicNow() + options.limit;
        boost::system::error_code ec = boost::asio::error::would_block;
        boost::asio::async_write(
                m_socket, boost::asio::buffer(request),
                [&ec](boost::system::error_code result, std::size_t) { ec = result; });
        waitFor(ec, options.limit);
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t(16) << 20);
        if (!ec)
            read(parser, until);
        reply.isWhole = parser.is_done();
        reply.isTimedOut = m_isTimedOut;
        m_isOpen = reply.isWhole && parser.get().keep_alive() && !options.closes;
        if (parser.is_header_done()) {
            reply.status = static_cast<int>(parser.get().result_int());
            std::ostringstream head;
            head << parser.get().base();
            reply.head = head.str();
            reply.body = parser.get().body();
        }
        return reply;
    }

private:
    /// Runs until \a ec is set; closes the connection when \a limit passes first.
    void waitFor(boost::system::error_code &ec, base::Millis limit)
    {
        m_io.restart();
        m_io.run_for(limit);
        if (ec != boost::asio::error::would_block)
            return;
        close();
        m_isTimedOut = true;
        m_io.restart();
        m_io.run();
    }

    void read(http::response_parser<http::string_body> &parser, base::TimePoint until)
    {
        boost::system::error_code ec = boost::asio::error::would_block;
        http::async_read(m_socket, m_buffer, parser,
                         [&ec](boost::system::error_code result, std::size_t) { ec = result; });
        const auto left = std::chrono::floor<base::Millis>(until - base::monotonicNow());
        waitFor(ec, std::max(base::Millis(0), left));
    }

    void close()
    {
        boost::system::error_code ignored; // A connection that is gone needs no closing.
        m_socket.close(ignored);
        m_isOpen = false;
    }

    boost::asio::io_context m_io;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    bool m_isOpen = false;
    bool m_isTimedOut = false;
};

Caller::Caller(const base::Endpoint &to, base::Millis connectLimit)
    : m_impl(std::make_unique<Impl>(to, connectLimit))
{ }

Caller::~Caller() = default;

bool Caller::isOpen() const
{
    return m_impl->isOpen();
}

Reply Caller::call(const std::string &method, const std::string &target, const CallOptions &options)
{
    return m_impl->call(method, target, options);
}

Reply callOnce(const base::Endpoint &to, const std::string &method, const std::string &target,
               const CallOptions &options)
{
    return Caller(to).call(method, target, options);
}

} // namespace hyssop::harness
