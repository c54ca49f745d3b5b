#pragma once

#include "base/Base.h"

#include <mutex>
#include <string>
#include <vector>

namespace hyssop::platformsoak {

enum class Kind {
    Booking, ///< May run once at most.
    Lookup, ///< May repeat.
    Chat, ///< A stream after a short prompt.
    Digest, ///< A stream after a long prompt.
};

/// What a caller did and saw.
struct CallRecord
{
    std::string id;
    Kind kind = Kind::Booking;
    std::string entry;
    std::string team;
    base::TimePoint sentAt;
    base::TimePoint endedAt;
    bool isTimedOut = false; ///< Nothing had ended it when its caller lost patience.
    base::Millis deadline{0};
    bool isConnected = false;
    int status = 0; ///< 0 without an answer.
    bool isWhole = false;
    bool isDeadly = false; ///< Crashes the replicas that run it.
    bool isOwn = false; ///< The body is what a replica made for this request, as far as it came.
};

/// A fault and whom it met.
struct FaultRecord
{
    std::string target; ///< Host, replica or link end; empty for all.
    bool isPlanned = false; ///< A stop or reload that may cut nothing.
    base::TimePoint from;
    base::TimePoint to;
    bool reachesCallers = false; ///< Only links to replicas are met, the host can still answer.
};

/// A manifest that was acknowledged.
struct AckRecord
{
    std::int64_t version = 0;
    base::TimePoint at;
};

/// A read of the manifest; version 0 for none or a refusal.
struct ReadRecord
{
    std::int64_t version = 0;
    base::TimePoint askedAt;
};

/// A replica said that it leaves, and was heard.
struct LeaveRecord
{
    std::string replica;
    base::TimePoint at;
};

/// All that was done and seen; any thread may add to it.
class History
{
public:
    void add(CallRecord record) { addTo(m_calls, std::move(record)); }
    void add(FaultRecord record) { addTo(m_faults, std::move(record)); }
    void add(AckRecord record) { addTo(m_acks, record); }
    void add(ReadRecord record) { addTo(m_reads, record); }
    void add(LeaveRecord record) { addTo(m_leaves, std::move(record)); }

    // For use once nothing is added any more.
    const std::vector<CallRecord> &calls() const { return m_calls; }
    const std::vector<FaultRecord> &faults() const { return m_faults; }
    const std::vector<AckRecord> &acks() const { return m_acks; }
    const std::vector<ReadRecord> &reads() const { return m_reads; }
    const std::vector<LeaveRecord> &leaves() const { return m_leaves; }

private:
    template <typename Record>
    void addTo(std::vector<Record> &to, Record record)
    {
        const std::lock_guard guard(m_mutex);
        to.push_back(std::move(record));
    }

    std::mutex m_mutex;
    std::vector<CallRecord> m_calls;
    std::vector<FaultRecord> m_faults;
    std::vector<AckRecord> m_acks;
    std::vector<ReadRecord> m_reads;
    std::vector<LeaveRecord> m_leaves;
};

} // namespace hyssop::platformsoak
