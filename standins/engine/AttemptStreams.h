#pragma once

#include "FaultPlan.h"
#include "http/Http.h"

#include <map>
#include <set>
#include <string>

namespace hyssop::standins {

/// The readers of attempts, and what is kept of attempts whose reader is gone.
///
/// The text of a token follows from the prompt's digest and the token's offset, so a kept attempt
/// needs no more than its count of tokens.
class AttemptStreams
{
public:
    AttemptStreams(http::Loop *loop, FaultPlan *faults, base::Millis keep);

    bool knows(const std::string &attempt) const { return m_attempts.contains(attempt); }
    /// Whether a cancel came before the attempt itself.
    bool wasCancelled(const std::string &attempt) const { return m_cancelled.contains(attempt); }
    std::size_t readers() const { return m_readers.size(); }

    /// Starts the stream of a new attempt.
    void start(const std::string &attempt, const std::string &digest, AttemptFaults faults,
               http::ExchangeId reader);
    enum class Resumed { Yes, Unknown, BadOffset };
    /// Goes on at \a offset for another reader.
    Resumed resume(const std::string &attempt, std::int64_t offset, http::ExchangeId reader);
    /// A token was made.
    void add(const std::string &attempt, std::int64_t offset, bool isLast);
    /// Ends an attempt for good; true when it was known.
    bool cancel(const std::string &attempt);
    void readerGone(http::ExchangeId reader);

private:
    struct Attempt
    {
        std::string digest;
        AttemptFaults faults;
        std::optional<http::ExchangeId> reader;
        std::int64_t made = 0;
        bool isDone = false;
    };

    void send(Attempt &attempt, const std::string &event, bool isLast);
    void write(http::ExchangeId reader, const std::string &event, bool isLast);
    void detach(Attempt &attempt);
    void forgetLater(const std::string &attempt);

    http::Loop *m_loop;
    FaultPlan *m_faults;
    base::Millis m_keep;
    std::map<std::string, Attempt> m_attempts;
    std::map<http::ExchangeId, std::string> m_readers;
    std::set<std::string> m_cancelled;
};

} // namespace hyssop::standins
