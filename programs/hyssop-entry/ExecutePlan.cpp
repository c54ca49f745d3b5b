#include "ExecutePlan.h"

#include <algorithm>
#include <cassert>

namespace hyssop::entry {

namespace {

/// How long a control host that failed is asked after the others.
constexpr base::Millis kSuspectTime{5'000};
/// Wait after every host was tried once; doubles each round.
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

ControlOrder::ControlOrder(std::size_t controls)
    : m_suspectUntil(controls)
{ }

void ControlOrder::failed(std::size_t control, base::TimePoint now)
{
    m_suspectUntil.at(control) = now + kSuspectTime;
}

void ControlOrder::answered(std::size_t control)
{
    m_suspectUntil.at(control) = base::TimePoint();
}

std::vector<std::size_t> ControlOrder::order(base::TimePoint now) const
{
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < m_suspectUntil.size(); ++n)
        order.push_back(n);
    std::stable_partition(order.begin(), order.end(),
                          [this, now](std::size_t n) { return m_suspectUntil[n] <= now; });
    return order;
}

ExecutePlan::ExecutePlan(bool mayResend, std::vector<std::size_t> order, base::TimePoint until,
                         base::Millis tryTimeout)
    : m_mayResend(mayResend)
    , m_order(std::move(order))
    , m_until(until)
    , m_tryTimeout(tryTimeout)
{ }

ExecutePlan::Step ExecutePlan::first(base::TimePoint now)
{
    assert(m_tries == 0 && "first() is called once, before failed()");
    return next(now);
}

ExecutePlan::Step ExecutePlan::failed(TryFault fault, base::TimePoint now)
{
    assert(m_tries > 0 && "failed() is called after first()");
    if (fault == TryFault::Lost) {
        m_mayBeRecorded = true;
        if (!m_mayResend)
            return tl::unexpected(ExecuteFailure::MayBeRecorded);
    }
    if (fault == TryFault::NoQuorum)
        return tl::unexpected(failure());
    return next(now);
}

ExecuteFailure ExecutePlan::failure() const
{
    // A later refusal says nothing about an earlier try that was lost.
    return m_mayBeRecorded ? ExecuteFailure::MayBeRecorded : ExecuteFailure::NotRecorded;
}

ExecutePlan::Step ExecutePlan::next(base::TimePoint now)
{
    if (m_order.empty() || m_tries >= kMaxRounds * m_order.size())
        return tl::unexpected(failure());
    const std::size_t round = m_tries / m_order.size();
    const std::size_t place = m_tries % m_order.size();
    Try step;
    step.control = m_order[place];
    step.delay = place == 0 && round > 0 ? backoff(round - 1) : base::Millis(0);
    const auto left = std::chrono::floor<base::Millis>(m_until - now) - step.delay;
    if (left <= base::Millis(0))
        return tl::unexpected(failure());
    step.timeout = std::min(m_tryTimeout, left);
    ++m_tries;
    return step;
}

} // namespace hyssop::entry
