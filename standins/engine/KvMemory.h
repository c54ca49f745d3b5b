#pragma once

#include "base/Base.h"

#include <list>
#include <map>
#include <string>
#include <vector>

namespace hyssop::standins {

/// Memory kept for one member's part of a gang.
struct Reservation
{
    std::string id;
    std::string owner;
    std::int64_t tokens = 0;
    std::int64_t gangTokens = 0; ///< Of all members together.
    base::Millis ttl{0}; ///< Life once held, from the last renewal.
    base::TimePoint waitUntil; ///< Bound on the wait for memory.
    std::int64_t held = 0;
    base::TimePoint expires;

    bool isHeld() const { return held == tokens; }
};

/// An exported or imported KV cache.
struct KvHold
{
    std::string owner;
    std::int64_t tokens = 0;
};

/// Who holds how much of an engine's KV memory. No I/O.
///
/// A waiting reservation gathers what becomes free, but for some headroom in which short
/// sequences keep running; only the oldest one gathers, so two of them never block each other.
class KvMemory
{
public:
    explicit KvMemory(std::int64_t capacity);

    std::int64_t capacity() const { return m_capacity; }
    /// Tokens not free: sequences, reservations, exports and imports.
    std::int64_t used() const { return m_sequences + m_reserved + m_heldTokens; }
    std::int64_t free() const { return m_capacity - used(); }

    /// Memory for a sequence; false when it is not free.
    bool take(std::int64_t tokens);
    void give(std::int64_t tokens);

    enum class Verdict { Held, Waiting, TooLarge };
    /// Reserves, or renews a reservation of the same id.
    Verdict reserve(Reservation reservation, base::TimePoint now);
    /// Moves free memory to the oldest waiting reservation; answers with those now held whole.
    std::vector<std::string> gather(base::TimePoint now);
    /// Drops reservations past their ttl or their wait; answers with those that were waiting.
    std::vector<std::string> expire(base::TimePoint now);
    bool unreserve(const std::string &id);
    const Reservation *reservation(const std::string &id) const;
    const std::list<Reservation> &reservations() const { return m_reservations; }
    std::int64_t reserved() const { return m_reserved; }

    bool hold(const std::string &id, KvHold hold);
    bool unhold(const std::string &id);
    const std::map<std::string, KvHold> &holds() const { return m_holds; }
    std::int64_t held() const { return m_heldTokens; }

private:
    std::list<Reservation>::iterator find(const std::string &id);
    void erase(std::list<Reservation>::iterator it);

    std::int64_t m_capacity;
    std::int64_t m_sequences = 0;
    std::int64_t m_reserved = 0;
    std::int64_t m_heldTokens = 0;
    std::list<Reservation> m_reservations; ///< By arrival.
    std::map<std::string, KvHold> m_holds;
};

} // namespace hyssop::standins
