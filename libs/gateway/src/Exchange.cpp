#include "CallerConnection.h"

#include <fmt/format.h>

namespace hyssop::gateway {

Exchange::Exchange(std::weak_ptr<CallerConnection> connection, RequestHead head, std::string body,
                   base::TimePoint arrivedAt)
    : m_connection(std::move(connection))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_arrivedAt(arrivedAt)
{ }

Exchange::~Exchange()
{
    abandon("dropped by its handler");
}

void Exchange::abandon(std::string_view reason)
{
    const auto connection = m_connection.lock();
    if (!connection || std::exchange(m_isEnded, true))
        return;
    connection->abandonResponse(m_isStarted, m_head.target, reason);
}

void Exchange::respond(int status, const Fields &fields, std::string_view body)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isEnded)
        return;
    if (m_isStarted)
        return abandon("a second response");
    m_isEnded = true;
    connection->beginResponse();
    std::string out = http1::statusLine(status);
    http1::appendFields(out, fields);
    const bool hasBody = status != 204 && status != 304;
    if (hasBody)
        out += fmt::format("Content-Length: {}\r\n", body.size());
    if (connection->hasCloseHeader())
        out += "Connection: close\r\n";
    out += "\r\n";
    if (hasBody && m_head.method != "HEAD")
        out += body;
    connection->write(std::move(out));
    connection->endResponse(ResponseEnd::Answered);
}

void Exchange::start(int status, const Fields &fields)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isEnded || m_isStarted)
        return;
    m_isStarted = true;
    connection->beginResponse();
    std::string out = http1::statusLine(status);
    http1::appendFields(out, fields);
    if (connection->acceptsChunks())
        out += "Transfer-Encoding: chunked\r\n";
    if (connection->hasCloseHeader())
        out += "Connection: close\r\n";
    out += "\r\n";
    connection->write(std::move(out));
}

void Exchange::send(std::string_view data)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isEnded || !m_isStarted || data.empty())
        return;
    if (connection->acceptsChunks())
        connection->write(fmt::format("{:x}\r\n{}\r\n", data.size(), data));
    else
        connection->write(std::string(data));
}

void Exchange::finish()
{
    const auto connection = m_connection.lock();
    if (!connection || m_isEnded || !m_isStarted)
        return;
    m_isEnded = true;
    if (connection->acceptsChunks())
        connection->write("0\r\n\r\n");
    connection->endResponse(ResponseEnd::Answered);
}

void Exchange::abort()
{
    const auto connection = m_connection.lock();
    if (!connection || m_isEnded)
        return;
    m_isEnded = true;
    connection->endResponse(ResponseEnd::BrokenOff);
}

void Exchange::setBuffered(std::size_t bytes)
{
    if (const auto connection = m_connection.lock())
        connection->setBuffered(bytes);
}

std::size_t Exchange::unsentBytes() const
{
    const auto connection = m_connection.lock();
    return connection ? connection->unsentBytes() : 0;
}

} // namespace hyssop::gateway
