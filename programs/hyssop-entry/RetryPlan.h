#pragma once

#include "ledger/Ledger.h"

#include <vector>

namespace hyssop::entry {

/// What is known of a command that got no reply from the log.
enum class ExecuteFailure {
    NotRecorded, ///< It is not in the log and never will be.
    MayBeRecorded, ///< It may be in the log, or may still arrive there.
};

std::string_view executeFailureName(ExecuteFailure failure);

/// Why one try of a command at one control host got no reply.
enum class TryFault {
    Refused, ///< The host responded that nothing was recorded.
    NoQuorum, ///< The host responded that its group has no quorum; other hosts are not tried.
    NotSent, ///< Nothing was sent.
    Lost, ///< It was sent, and no response or no definite one came.
};

std::string_view tryFaultName(TryFault fault);

/// Order in which control hosts are tried: nearest first, recently failed hosts last.
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

/// Decides where and when a command or query is tried next, and how it fails in the end. No I/O.
class RetryPlan
{
public:
    struct Try
    {
        std::size_t hostIndex = 0;
        base::Millis delay{0}; ///< Wait before the try is sent.
        base::Millis timeout{0};
    };
    using Step = tl::expected<Try, ExecuteFailure>;

    /// Timeout of one try, so that a hanging host doesn't use up the time of the whole command.
    static constexpr base::Millis kTryTimeout{1'500};

    /// \a mayResend: whether a try that was lost may be followed by another one.
    RetryPlan(bool mayResend, std::vector<std::size_t> hosts, base::TimePoint deadline,
              base::Millis tryTimeout = kTryTimeout);

    /// Returns the first try.
    Step start(base::TimePoint now);
    /// Returns the next try, or how the command failed.
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
