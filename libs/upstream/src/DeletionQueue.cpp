#include "upstream/Upstream.h"

namespace hyssop::upstream {

namespace {

constexpr base::Millis kRequestTimeout{1'000};
constexpr base::Millis kInitialRetryDelay{100};
constexpr base::Millis kMaxRetryDelay{5'000};

bool isConfirmation(int status)
{
    return status == 200 || status == 202 || status == 204 || status == 404 || status == 410;
}

} // namespace

Deletions::Deletions(http::Loop *loop, OwnerName owner)
    : m_loop(loop)
    , m_owner(std::move(owner))
{ }

Deletions::~Deletions()
{
    for (const auto &[id, call] : m_calls)
        m_loop->cancel(id);
    for (const auto &[deletion, timer] : m_retryTimers)
        m_loop->cancelTimer(timer);
}

void Deletions::add(const base::Endpoint &to, const std::string &path)
{
    const Order deletion{to, path};
    if (!m_retryStates.emplace(deletion, RetryState{}).second)
        return;
    m_queue.push_back(deletion);
    sendQueued();
}

std::vector<Deletions::Order> Deletions::pendingDeletions() const
{
    std::vector<Order> deletions;
    for (const auto &[deletion, state] : m_retryStates)
        deletions.push_back(deletion);
    return deletions;
}

void Deletions::sendQueued()
{
    while (!m_queue.empty() && m_calls.size() < kMaxConcurrentRequests) {
        const Order deletion = m_queue.front();
        m_queue.pop_front();
        send(deletion);
    }
}

void Deletions::send(const Order &deletion)
{
    http::Call call;
    call.to = deletion.to;
    call.method = http::Method::Delete;
    call.path = deletion.path;
    call.headers = {{"x-owner", m_owner.text()}};
    call.connectTimeout = kRequestTimeout;
    call.timeout = kRequestTimeout;
    m_calls.emplace(m_loop->call(std::move(call), this), OpenCall{deletion, 0});
}

void Deletions::onHead(http::CallId id, int status, const http::Headers &)
{
    m_calls.at(id).status = status;
}

void Deletions::onDone(http::CallId id)
{
    onCallEnded(id);
}

void Deletions::onFailed(http::CallId id, const http::CallError &)
{
    m_calls.at(id).status = 0;
    onCallEnded(id);
}

void Deletions::onCallEnded(http::CallId id)
{
    const auto it = m_calls.find(id);
    const OpenCall call = it->second;
    m_calls.erase(it);
    if (isConfirmation(call.status))
        m_retryStates.erase(call.deletion);
    else
        retryLater(call.deletion);
    sendQueued();
}

void Deletions::retryLater(const Order &deletion)
{
    RetryState &state = m_retryStates.at(deletion);
    state.retryDelay = std::clamp(state.retryDelay * 2, kInitialRetryDelay, kMaxRetryDelay);
    state.elapsed += state.retryDelay + kRequestTimeout;
    if (state.elapsed >= kMaxRetryTime) {
        ++m_givenUpCount;
        base::logEvent("deletion_given_up", {{"to", deletion.to.text()}, {"path", deletion.path}});
        m_retryStates.erase(deletion);
        return;
    }
    m_retryTimers[deletion] = m_loop->after(state.retryDelay, [this, deletion] {
        m_retryTimers.erase(deletion);
        m_queue.push_back(deletion);
        sendQueued();
    });
}

} // namespace hyssop::upstream
