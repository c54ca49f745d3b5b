#include "Poll.h"

namespace hyssop::soak {

namespace {

constexpr base::Millis kTimeout{2'000};

} // namespace

Poll::Poll(harness::Client *client, base::Endpoint to, std::string path, base::Millis interval,
           http::Headers headers)
    : m_client(client)
    , m_interval(interval)
{
    m_call.to = std::move(to);
    m_call.path = std::move(path);
    m_call.headers = std::move(headers);
    m_call.timeout = kTimeout;
}

std::optional<Poll::Reading> Poll::tick(base::TimePoint now)
{
    if (!m_pending) {
        if (now - m_asked < m_interval)
            return std::nullopt;
        m_asked = now;
        m_pending = m_client->start(m_call);
        return std::nullopt;
    }
    harness::Answer answer = m_pending->now();
    if (!answer.hasEnded())
        return std::nullopt;
    m_pending.reset();
    return Reading{std::move(answer), m_asked};
}

} // namespace hyssop::soak
