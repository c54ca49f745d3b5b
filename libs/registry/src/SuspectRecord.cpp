#include "SuspectRecord.h"

#include <nlohmann/json.hpp>

namespace hyssop::registry {

using nlohmann::json;

namespace {

std::int64_t wallClockMs()
{
    return std::chrono::floor<base::Millis>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace

std::string encodeSuspects(const std::vector<KnownSuspect> &suspects, std::int64_t wallMs)
{
    if (suspects.empty())
        return {};
    fleet::CrashEvidence facts;
    json ages = json::array();
    for (const KnownSuspect &it : suspects) {
        facts.suspects.push_back(it.fact);
        ages.push_back(it.lastCrashAge.count());
    }
    return base::toCbor({wallMs, fleet::encode(facts), std::move(ages)});
}

std::optional<std::vector<KnownSuspect>> decodeSuspects(std::string_view text, std::int64_t wallMs)
{
    std::vector<KnownSuspect> suspects;
    if (text.empty())
        return suspects;
    const auto parsed = base::parseCbor(text);
    if (!parsed)
        return std::nullopt;
    try {
        const base::Millis age(
                std::max<std::int64_t>(0, wallMs - parsed->at(0).get<std::int64_t>()));
        const auto facts = fleet::decodeCrashEvidence(parsed->at(1).get<std::string>());
        if (!facts)
            return std::nullopt;
        for (std::size_t n = 0; n < facts->suspects.size(); ++n) {
            KnownSuspect suspect{facts->suspects[n], base::Millis(parsed->at(2).at(n))};
            suspect.fact.crashAge += age;
            suspect.lastCrashAge += age;
            suspect.fact.nextTrialIn = std::max(base::Millis(0), suspect.fact.nextTrialIn - age);
            suspects.push_back(suspect);
        }
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return suspects;
}

void SuspectRecord::update(group::GroupHost &group, CrashSuspects &suspects, base::TimePoint now)
{
    const replog::Term term = group.replica().term();
    // The first entry of a term follows all that former leaders have committed.
    if (!group.replica().hasLease(now) || group.ledger().position().term != term)
        return;
    const std::int64_t wallMs = wallClockMs();
    if (!isRestored(term)) {
        const auto &stored = group.ledger().crashSuspects();
        restore(term, stored ? &*stored : nullptr, suspects, now, wallMs);
    }
    const auto text = takeDue(suspects, now, wallMs);
    if (!text)
        return;
    base::logEvent(
            "crash_suspects_stored",
            {{"revision", m_pendingRevision}, {"bytes", text->size()}, {"term", term.count()}});
    group.execute(
            ledger::PutCrashSuspects{*text},
            [this](const auto &reply) {
                onStored(reply && reply->status == ledger::Status::Accepted);
            },
            now);
}

void SuspectRecord::restore(replog::Term term, const ledger::StoredCrashSuspects *stored,
                            CrashSuspects &suspects, base::TimePoint now, std::int64_t wallMs)
{
    m_restoredTerm = term;
    m_isPending = false;
    const auto known = decodeSuspects(stored ? stored->text : std::string(), wallMs);
    if (!known) {
        base::logEvent("crash_suspects_unreadable", {{"bytes", stored->text.size()}});
        m_storedRevision = -1;
        return;
    }
    suspects.learn(*known, now);
    // A host that led before may know more.
    m_storedRevision = suspects.known(now).size() == known->size() ? suspects.revision() : -1;
    if (!known->empty())
        base::logEvent("crash_suspects_restored",
                       {{"suspects", known->size()}, {"term", term.count()}});
}

std::optional<std::string> SuspectRecord::takeDue(const CrashSuspects &suspects,
                                                  base::TimePoint now, std::int64_t wallMs)
{
    if (m_isPending || now < m_nextAt || suspects.revision() == m_storedRevision)
        return std::nullopt;
    m_isPending = true;
    m_pendingRevision = suspects.revision();
    m_nextAt = now + kInterval;
    return encodeSuspects(suspects.known(now), wallMs);
}

void SuspectRecord::onStored(bool isStored)
{
    m_isPending = false;
    if (isStored)
        m_storedRevision = m_pendingRevision;
    else
        base::logEvent("crash_suspects_not_stored", {{"revision", m_pendingRevision}});
}

} // namespace hyssop::registry
