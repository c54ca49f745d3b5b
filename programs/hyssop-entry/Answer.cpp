#include "Answer.h"

namespace hyssop::entry {

CallerAnswer::CallerAnswer(caller::Server *server, http::ExchangeId exchange)
    : m_server(server)
    , m_exchange(exchange)
{ }

void CallerAnswer::addTokens(const std::vector<std::string> &tokens)
{
    m_server->addTokens(m_exchange, tokens);
}

void CallerAnswer::complete()
{
    m_server->complete(m_exchange);
}

void CallerAnswer::answer(const upstream::ServiceAnswer &answer)
{
    m_server->answer(m_exchange, answer.status, answer.contentType, answer.body);
}

void CallerAnswer::fail(const caller::ErrorBody &error)
{
    m_server->fail(m_exchange, error);
}

std::size_t CallerAnswer::unsentBytes() const
{
    return m_server->unsentBytes(m_exchange);
}

} // namespace hyssop::entry
