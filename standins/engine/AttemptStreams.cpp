#include "AttemptStreams.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssop::standins {

namespace {

constexpr auto kEndMark = "data: [DONE]\n\n";

std::string eventOf(const std::string &attempt, const std::string &digest, std::int64_t from,
                    std::int64_t to)
{
    nlohmann::json tokens = nlohmann::json::array();
    for (std::int64_t offset = from; offset < to; ++offset)
        tokens.push_back(fmt::format("{}.{} ", digest, offset));
    const nlohmann::json event{{"attempt", attempt}, {"offset", from}, {"tokens", tokens}};
    return "data: " + event.dump() + "\n\n";
}

} // namespace

AttemptStreams::AttemptStreams(http::Loop *loop, FaultPlan *faults, base::Millis keep)
    : m_loop(loop)
    , m_faults(faults)
    , m_keep(keep)
{ }

void AttemptStreams::start(const std::string &attempt, const std::string &digest,
                           AttemptFaults faults, http::ExchangeId reader)
{
    Attempt &it = m_attempts[attempt];
    it.digest = digest;
    it.faults = faults;
    it.reader = reader;
    m_readers.emplace(reader, attempt);
    m_loop->startStream(reader, 200, "text/event-stream", {});
}

AttemptStreams::Resumed AttemptStreams::resume(const std::string &attempt, std::int64_t offset,
                                               http::ExchangeId reader)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return Resumed::Unknown;
    Attempt &kept = it->second;
    if (offset < 0 || offset > kept.made)
        return Resumed::BadOffset;
    detach(kept);
    kept.reader = reader;
    // A fault strikes an attempt once.
    kept.faults = {};
    m_readers.emplace(reader, attempt);
    m_loop->startStream(reader, 200, "text/event-stream", {});
    if (offset < kept.made)
        send(kept, eventOf(attempt, kept.digest, offset, kept.made), kept.isDone);
    else if (kept.isDone)
        send(kept, "", true);
    return Resumed::Yes;
}

void AttemptStreams::add(const std::string &attempt, std::int64_t offset, bool isLast)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    Attempt &kept = it->second;
    kept.made = offset + 1;
    kept.isDone = isLast;
    if (isLast)
        forgetLater(attempt);
    const FaultSettings &faults = m_faults->settings();
    if (kept.faults.closes && kept.made > faults.closeAfter)
        detach(kept);
    if (kept.faults.stalls && kept.made > faults.stallAfter)
        return;
    send(kept, eventOf(attempt, kept.digest, offset, offset + 1), isLast);
}

void AttemptStreams::send(Attempt &attempt, const std::string &event, bool isLast)
{
    if (!attempt.reader)
        return;
    const http::ExchangeId reader = *attempt.reader;
    const bool isTwice = m_faults->duplicates();
    const std::string text = isTwice ? event + event : event;
    if (m_faults->crosses() && m_readers.size() > 1) {
        const auto other = m_readers.begin()->first == reader ? std::next(m_readers.begin())
                                                              : m_readers.begin();
        write(other->first, event, false);
    }
    const base::Millis delay = m_faults->settings().delay;
    if (delay.count() == 0)
        write(reader, text, isLast);
    else
        m_loop->after(delay, [this, reader, text, isLast] { write(reader, text, isLast); });
}

void AttemptStreams::write(http::ExchangeId reader, const std::string &event, bool isLast)
{
    const auto it = m_readers.find(reader);
    if (it == m_readers.end())
        return;
    if (!event.empty())
        m_loop->sendStream(reader, event);
    if (!isLast)
        return;
    m_loop->sendStream(reader, kEndMark);
    if (const auto attempt = m_attempts.find(it->second); attempt != m_attempts.end())
        detach(attempt->second);
}

void AttemptStreams::detach(Attempt &attempt)
{
    if (!attempt.reader)
        return;
    m_loop->endStream(*attempt.reader);
    m_readers.erase(*attempt.reader);
    attempt.reader.reset();
}

bool AttemptStreams::cancel(const std::string &attempt)
{
    // A start that arrives after its cancel must not run.
    m_cancelled.insert(attempt);
    m_loop->after(m_keep, [this, attempt] { m_cancelled.erase(attempt); });
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return false;
    detach(it->second);
    m_attempts.erase(it);
    return true;
}

void AttemptStreams::readerGone(http::ExchangeId reader)
{
    const auto it = m_readers.find(reader);
    if (it == m_readers.end())
        return;
    // The work goes on: engines notice a lost reader only when they are told to cancel.
    if (const auto attempt = m_attempts.find(it->second); attempt != m_attempts.end())
        attempt->second.reader.reset();
    m_readers.erase(it);
}

void AttemptStreams::forgetLater(const std::string &attempt)
{
    m_loop->after(m_keep, [this, attempt] {
        const auto it = m_attempts.find(attempt);
        if (it == m_attempts.end())
            return;
        detach(it->second);
        m_attempts.erase(it);
    });
}

} // namespace hyssop::standins
