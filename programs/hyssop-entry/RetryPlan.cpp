#include "RetryPlan.h"

#include <algorithm>
#include <cassert>

namespace hyssop::entry {

namespace {

/// How long a control host that failed is tried after the others.
constexpr base::Millis kSuspectDuration{5'000};
/// Wait after every host was tried once. Doubles each round up to kMaxBackoff.
constexpr base::Millis kFirstBackoff{50};
constexpr base::Millis kMaxBackoff{1'000};
constexpr std::size_t kMaxRounds = 8;

base::Millis backoff(std::size_t round)
{
    return std::min(kMaxBackoff, kFirstBackoff * (1 << std::min<std::size_t>(round, 5)));
}

} // namespace

std::string_view executeFailureName(ExecuteFailure failure)
{
    return failure == ExecuteFailure::NotRecorded ? "not_recorded" : "may_be_recorded";
}

std::string_view tryFaultName(TryFault fault)
{
    switch (fault) {
    case TryFault::Refused:
        return "refused";
    case TryFault::NoQuorum:
        return "no_quorum";
    case TryFault::NotSent:
        return "not_sent";
    case TryFault::Lost:
        return "lost";
    }
    return "unknown";
}

ControlHostOrder::ControlHostOrder(std::size_t hostCount)
    : m_suspectUntil(hostCount)
{ }

void ControlHostOrder::onFailure(std::size_t hostIndex, base::TimePoint now)
{
    m_suspectUntil.at(hostIndex) = now + kSuspectDuration;
}

void ControlHostOrder::onAnswer(std::size_t hostIndex)
{
    m_suspectUntil.at(hostIndex) = base::TimePoint();
}

std::vector<std::size_t> ControlHostOrder::order(base::TimePoint now) const
{
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < m_suspectUntil.size(); ++n)
        order.push_back(n);
    std::stable_partition(order.begin(), order.end(),
                          [this, now](std::size_t n) { return m_suspectUntil[n] <= now; });
    return order;
}

RetryPlan::RetryPlan(bool mayResend, std::vector<std::size_t> hosts, base::TimePoint deadline,
                     base::Millis tryTimeout)
    : m_mayResend(mayResend)
    , m_hosts(std::move(hosts))
    , m_deadline(deadline)
    , m_tryTimeout(tryTimeout)
{ }

RetryPlan::Step RetryPlan::start(base::TimePoint now)
{
    assert(m_tryCount == 0 && "start() is called once, before onFailure()");
    return nextStep(now);
}

RetryPlan::Step RetryPlan::onFailure(TryFault fault, base::TimePoint now)
{
    assert(m_tryCount > 0 && "onFailure() is called after start()");
    if (fault == TryFault::Lost) {
        m_mayBeRecorded = true;
        if (!m_mayResend)
            return tl::unexpected(ExecuteFailure::MayBeRecorded);
    }
    if (fault == TryFault::NoQuorum)
        return tl::unexpected(finalFailure());
    return nextStep(now);
}

ExecuteFailure RetryPlan::finalFailure() const
{
    // A later refusal says nothing about an earlier try without a definite response.
    return m_mayBeRecorded ? ExecuteFailure::MayBeRecorded : ExecuteFailure::NotRecorded;
}

RetryPlan::Step RetryPlan::nextStep(base::TimePoint now)
{
    if (m_hosts.empty() || m_tryCount >= kMaxRounds * m_hosts.size())
        return tl::unexpected(finalFailure());
    const std::size_t round = m_tryCount / m_hosts.size();
    const std::size_t position = m_tryCount % m_hosts.size();
    Try step;
    step.hostIndex = m_hosts[position];
    step.delay = position == 0 && round > 0 ? backoff(round - 1) : base::Millis(0);
    const auto remaining = std::chrono::floor<base::Millis>(m_deadline - now) - step.delay;
    if (remaining <= base::Millis(0))
        return tl::unexpected(finalFailure());
    step.timeout = std::min(m_tryTimeout, remaining);
    ++m_tryCount;
    return step;
}

} // namespace hyssop::entry
