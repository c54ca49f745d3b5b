#include "ResponseSink.h"

namespace hyssop::entry {

CallerResponseSink::CallerResponseSink(caller::Server *server, http::ExchangeId exchange)
    : m_server(server)
    , m_exchange(exchange)
{ }

void CallerResponseSink::addTokens(const std::vector<std::string> &tokens)
{
    m_server->addTokens(m_exchange, tokens);
}

void CallerResponseSink::complete()
{
    m_server->complete(m_exchange);
}

void CallerResponseSink::respond(const upstream::ServiceResponse &answer)
{
    m_server->answer(m_exchange, answer.status, answer.contentType, answer.body);
}

void CallerResponseSink::fail(const caller::ErrorBody &error)
{
    m_server->fail(m_exchange, error);
}

std::size_t CallerResponseSink::unsentBytes() const
{
    return m_server->unsentBytes(m_exchange);
}

} // namespace hyssop::entry
