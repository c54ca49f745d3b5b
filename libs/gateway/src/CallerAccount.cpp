#include "gateway/CallerAccount.h"

#include <algorithm>
#include <tuple>

namespace hyssop::gateway {

namespace {

/// Least number of bytes that count as progress: less than the smallest segment of a slow but
/// honest link, more than what a connection gains that transfers byte by byte.
constexpr std::size_t kProgressBytes = 512;
/// Unread and pipelined bytes up to this size are ordinary: a part of a response that the socket
/// did not take at once, or the beginning of the next request.
constexpr std::size_t kOrdinaryBytes = std::size_t(16) << 10;
/// Part of the memory that stays free after connections were given up.
constexpr std::size_t kRoomDivisor = 16;

} // namespace

std::string_view shedReasonName(ShedReason reason)
{
    switch (reason) {
    case ShedReason::Stalled:
        return "stalled";
    case ShedReason::Unread:
        return "unread";
    case ShedReason::Pipelining:
        return "pipelining";
    case ShedReason::Unfinished:
        return "unfinished";
    case ShedReason::Busy:
        return "busy";
    case ShedReason::Slow:
        return "slow";
    }
    return "unknown";
}

CallerEntry *CallerAccount::add(base::TimePoint now)
{
    auto entry = std::make_unique<CallerEntry>();
    entry->id = ++m_lastId;
    entry->progressAt = now;
    return m_entries.emplace(entry->id, std::move(entry)).first->second.get();
}

void CallerAccount::remove(const CallerEntry *entry)
{
    m_bytes -= entry->bytes;
    m_entries.erase(entry->id);
}

void CallerAccount::setActivity(CallerEntry &entry, CallerActivity activity, base::TimePoint now)
{
    entry.activity = activity;
    entry.hasRequested = entry.hasRequested || activity == CallerActivity::Responding;
    entry.recentBytes = 0;
    entry.progressAt = now;
}

void CallerAccount::addTransferred(CallerEntry &entry, std::size_t n, base::TimePoint now)
{
    entry.recentBytes += n;
    if (entry.recentBytes < kProgressBytes)
        return;
    entry.recentBytes = 0;
    entry.progressAt = now;
}

std::optional<ShedReason> CallerAccount::reasonToShed(const CallerEntry &entry,
                                                      base::TimePoint now) const
{
    const bool hasUnread = entry.unreadBytes > kOrdinaryBytes;
    const bool waitsForCaller = hasUnread || entry.activity == CallerActivity::Reading
                                || entry.activity == CallerActivity::Closing
                                || (entry.activity == CallerActivity::Idle && !entry.hasRequested);
    if (waitsForCaller && isStalled(entry, now))
        return ShedReason::Stalled;
    if (hasUnread)
        return ShedReason::Unread;
    if (entry.pipelinedBytes > kOrdinaryBytes)
        return ShedReason::Pipelining;
    if (entry.activity == CallerActivity::Reading)
        return ShedReason::Unfinished;
    if (entry.activity == CallerActivity::Responding)
        return ShedReason::Busy;
    return std::nullopt;
}

std::vector<CallerAccount::Victim> CallerAccount::memoryVictims(base::TimePoint now) const
{
    if (!isOverMemory())
        return {};
    struct Candidate
    {
        ShedReason reason;
        const CallerEntry *entry;
    };
    std::vector<Candidate> candidates;
    for (const auto &[id, entry] : m_entries)
        if (const auto reason = reasonToShed(*entry, now))
            candidates.push_back({*reason, entry.get()});
    // Among equals those that hold most go first, so that small ordinary requests are last.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(a.reason, b.entry->bytes, a.entry->progressAt, a.entry->id)
               < std::tuple(b.reason, a.entry->bytes, b.entry->progressAt, b.entry->id);
    });
    const auto limit = static_cast<std::size_t>(m_limits.memory.count());
    std::size_t excess = m_bytes - (limit - limit / kRoomDivisor);
    std::vector<Victim> victims;
    for (const Candidate &it : candidates) {
        // A request that is being handled is given up for the limit only, not for the room.
        if (it.reason == ShedReason::Busy && excess <= limit / kRoomDivisor)
            break;
        victims.push_back({it.entry->id, it.reason});
        if (it.entry->bytes >= excess)
            break;
        excess -= it.entry->bytes;
    }
    return victims;
}

CallerAccount::Victim CallerAccount::connectionVictim(std::int64_t newest,
                                                      base::TimePoint now) const
{
    // Connections that never carried a request first, idle ones that their callers may use again
    // after all that stall. A request that is being handled keeps its connection.
    const auto rank = [&](const CallerEntry &entry) {
        if (entry.activity == CallerActivity::Closing)
            return 0;
        if (entry.activity == CallerActivity::Idle)
            return entry.hasRequested ? 3 : 1;
        return entry.unreadBytes > 0 || entry.activity == CallerActivity::Reading ? 2 : 4;
    };
    constexpr int kKept = 4;
    const CallerEntry *victim = nullptr;
    for (const auto &[id, entry] : m_entries) {
        if (id == newest || rank(*entry) == kKept
            || (entry->activity == CallerActivity::Reading && !isStalled(*entry, now)))
            continue;
        if (!victim
            || std::tuple(rank(*entry), entry->progressAt, id)
                       < std::tuple(rank(*victim), victim->progressAt, victim->id))
            victim = entry.get();
    }
    if (!victim)
        return {newest, ShedReason::Busy};
    return {victim->id, ShedReason::Stalled};
}

} // namespace hyssop::gateway
