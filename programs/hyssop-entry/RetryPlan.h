#pragma once

#include "ledger/Ledger.h"

#include <vector>

namespace hyssop::entry {

/// What is known of a command that got no answer from the log.
enum class ExecuteFailure {
    NotRecorded, ///< It is not on the log and never will be.
    MayBeRecorded, ///< It may be on the log, or yet arrive there.
};

std::string_view executeFailureName(ExecuteFailure failure);

/// How one try of a command at one control host ended without an answer.
enum class TryFault {
    Refused, ///< The host answered that nothing was recorded.
    NoQuorum, ///< The host answered that its group takes no commands now; no other is asked.
    NotSent, ///< No byte left.
    Lost, ///< It was sent, and no answer or no certain one came.
};

std::string_view tryFaultName(TryFault fault);

/// Orders control hosts for the next command: nearest first, those that failed lately last.
class ControlHostOrder
{
public:
    explicit ControlHostOrder(std::size_t hostCount);

    void onFailure(std::size_t hostIndex, base::TimePoint now);
    void onAnswer(std::size_t hostIndex);
    std::vector<std::size_t> order(base::TimePoint now) const;

private:
    std::vector<base::TimePoint> m_suspectUntil;
};

/// Decides where and when a command is tried next, and what its failure says in the end.
class RetryPlan
{
public:
    struct Try
    {
        std::size_t hostIndex = 0;
        base::Millis delay{0}; ///< Wait before it is sent.
        base::Millis timeout{0};
    };
    using Step = tl::expected<Try, ExecuteFailure>;

    /// Bound on one try; a host that hangs must not use up the whole time.
    static constexpr base::Millis kTryTimeout{1'500};

    RetryPlan(bool mayResend, std::vector<std::size_t> hosts, base::TimePoint deadline,
              base::Millis tryTimeout = kTryTimeout);

    Step start(base::TimePoint now);
    Step onFailure(TryFault fault, base::TimePoint now);

private:
    Step nextStep(base::TimePoint now);
    ExecuteFailure finalFailure() const;

    bool m_mayResend;
    std::vector<std::size_t> m_hosts;
    base::TimePoint m_deadline;
    base::Millis m_tryTimeout;
    std::size_t m_tryCount = 0;
    bool m_mayBeRecorded = false;
};

} // namespace hyssop::entry
