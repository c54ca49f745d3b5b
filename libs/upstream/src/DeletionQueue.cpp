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

DeletionQueue::DeletionQueue(http::Loop *loop, OwnerId owner)
    : m_loop(loop)
    , m_owner(std::move(owner))
{ }

DeletionQueue::~DeletionQueue()
{
    for (const auto &[id, call] : m_calls)
        m_loop->cancel(id);
    for (const auto &[deletion, timer] : m_retryTimers)
        m_loop->cancelTimer(timer);
}

void DeletionQueue::add(const base::Endpoint &to, const std::string &path)
{
    const Deletion deletion{to, path};
    if (!m_retryStates.emplace(deletion, RetryState{}).second)
        return;
    m_queue.push_back(deletion);
    sendQueued();
}

std::vector<DeletionQueue::Deletion> DeletionQueue::pendingDeletions() const
{
    std::vector<Deletion> deletions;
    for (const auto &[deletion, state] : m_retryStates)
        deletions.push_back(deletion);
    return deletions;
}

void DeletionQueue::sendQueued()
{
    while (!m_queue.empty() && m_calls.size() < kMaxConcurrentRequests) {
        const Deletion deletion = m_queue.front();
        m_queue.pop_front();
        send(deletion);
    }
}

void DeletionQueue::send(const Deletion &deletion)
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

void DeletionQueue::onHead(http::CallId id, int status, const http::Headers &)
{
    m_calls.at(id).status = status;
}

void DeletionQueue::onDone(http::CallId id)
{
    onCallEnded(id);
}

void DeletionQueue::onFailed(http::CallId id, const http::CallError &)
{
    m_calls.at(id).status = 0;
    onCallEnded(id);
}

void DeletionQueue::onCallEnded(http::CallId id)
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

void DeletionQueue::retryLater(const Deletion &deletion)
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
