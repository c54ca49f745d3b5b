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
class ControlOrder
{
public:
    explicit ControlOrder(std::size_t controls);

    void failed(std::size_t control, base::TimePoint now);
    void answered(std::size_t control);
    std::vector<std::size_t> order(base::TimePoint now) const;

private:
    std::vector<base::TimePoint> m_suspectUntil;
};

/// Decides where and when a command is tried next, and what its failure says in the end.
class ExecutePlan
{
public:
    struct Try
    {
        std::size_t control = 0;
        base::Millis delay{0}; ///< Wait before it is sent.
        base::Millis timeout{0};
    };
    using Step = tl::expected<Try, ExecuteFailure>;

    /// Bound on one try; a host that hangs must not use up the whole time.
    static constexpr base::Millis kTryTimeout{1'500};

    ExecutePlan(bool mayResend, std::vector<std::size_t> order, base::TimePoint until,
                base::Millis tryTimeout = kTryTimeout);

    Step first(base::TimePoint now);
    Step failed(TryFault fault, base::TimePoint now);

private:
    Step next(base::TimePoint now);
    ExecuteFailure failure() const;

    bool m_mayResend;
    std::vector<std::size_t> m_order;
    base::TimePoint m_until;
    base::Millis m_tryTimeout;
    std::size_t m_tries = 0;
    bool m_mayBeRecorded = false;
};

} // namespace hyssop::entry
