#include "Client.h"

#include <cassert>

namespace hyssop::harness {

namespace {

constexpr base::Millis kGetTimeout{2'000};
constexpr std::size_t kMaxOpen = 8'192;

} // namespace

nlohmann::json Answer::json() const
{
    return base::parseJson(body).value_or(nlohmann::json());
}

Answer Pending::wait() const
{
    std::unique_lock lock(m_state->mutex);
    m_state->changed.wait(lock, [this] { return m_state->answer.hasEnded(); });
    return m_state->answer;
}

Answer Pending::waitForBody(std::string_view part) const
{
    std::unique_lock lock(m_state->mutex);
    m_state->changed.wait(lock, [this, part] {
        const Answer &answer = m_state->answer;
        return answer.hasEnded() || answer.body.find(part) != std::string::npos;
    });
    return m_state->answer;
}

Answer Pending::now() const
{
    const std::lock_guard guard(m_state->mutex);
    return m_state->answer;
}

Client::Client()
{
    auto loop = http::Loop::create(kMaxOpen);
    assert(loop && "the caller has used up this process' sockets");
    m_loop = *std::move(loop);
    m_thread = std::thread([this] { m_loop->run(); });
}

Client::~Client()
{
    m_loop->stop();
    m_thread.join();
}

Pending Client::start(http::Call call)
{
    Pending pending;
    m_loop->post([this, call = std::move(call), state = pending.m_state]() mutable {
        const http::CallId id = m_loop->call(std::move(call), this);
        state->call = id;
        m_calls[id] = state;
    });
    return pending;
}

void Client::drop(const Pending &pending)
{
    m_loop->post([this, state = pending.m_state] {
        m_loop->cancel(state->call);
        m_calls.erase(state->call);
    });
}

Answer Client::get(const base::Endpoint &to, const std::string &path)
{
    http::Call call;
    call.to = to;
    call.path = path;
    call.timeout = kGetTimeout;
    return start(std::move(call)).wait();
}

template <typename Change>
void Client::change(http::CallId id, const Change &change)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const std::shared_ptr<Pending::State> state = it->second;
    {
        const std::lock_guard guard(state->mutex);
        change(state->answer);
        if (state->answer.hasEnded())
            m_calls.erase(it);
    }
    state->changed.notify_all();
}

void Client::onHead(http::CallId id, int status, const http::Headers &headers)
{
    change(id, [&](Answer &answer) {
        answer.status = status;
        answer.headers = headers;
    });
}

void Client::onData(http::CallId id, std::string_view data)
{
    change(id, [&](Answer &answer) { answer.body += data; });
}

void Client::onDone(http::CallId id)
{
    change(id, [](Answer &answer) {
        answer.isDone = true;
        answer.ended = base::monotonicNow();
    });
}

void Client::onFailed(http::CallId id, const http::CallError &error)
{
    change(id, [&](Answer &answer) {
        answer.error = error;
        answer.ended = base::monotonicNow();
    });
}

} // namespace hyssop::harness
