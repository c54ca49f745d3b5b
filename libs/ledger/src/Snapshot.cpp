#include "JsonConversion.h"

namespace hyssop::ledger {

using nlohmann::json;

namespace {

json positionToJson(const replog::Position &position)
{
    return {position.term.count(), position.index.count()};
}

replog::Position positionFromJson(const json &j)
{
    return {replog::Term(j.at(0)), replog::Index(j.at(1))};
}

json jobToJson(const Job &job)
{
    return {{"id", job.id.text()},          {"team", job.team.text()},
            {"request", job.request},       {"state", static_cast<int>(job.state)},
            {"owner", toJson(job.owner)},   {"result", job.result},
            {"attempts", job.attemptCount}, {"submitted", job.submittedAtMs},
            {"limit", job.timeLimitMs},     {"ended", job.endedAtMs}};
}

Job jobFromJson(const json &j)
{
    Job job;
    job.id = base::JobId(j.at("id"));
    job.team = base::TeamId(j.at("team"));
    job.request = j.at("request");
    job.state = static_cast<JobState>(j.at("state").get<int>());
    job.owner = ownerFromJson(j.at("owner"));
    job.result = j.at("result");
    job.attemptCount = j.at("attempts");
    job.submittedAtMs = j.at("submitted");
    job.timeLimitMs = j.at("limit");
    job.endedAtMs = j.at("ended");
    return job;
}

} // namespace

/// Converts the private state of a Ledger to and from JSON.
struct SnapshotCodec
{
    static json encodeState(const Ledger &ledger)
    {
        json j{{"position", positionToJson(ledger.m_position)},
               {"recordsPosition", positionToJson(ledger.m_recordsPosition)},
               {"time", ledger.m_logTimeMs},
               {"fencing", ledger.m_lastFencingToken},
               {"incarnation", ledger.m_groupIncarnation},
               {"records", json::array()},
               {"verdicts", json::array()},
               {"claims", json::array()},
               {"jobs", json::array()},
               {"leases", json::array()},
               {"retired", json::array()}};
        if (const auto &configuration = ledger.m_configuration)
            j["configuration"] = {configuration->version, configuration->text,
                                  positionToJson(configuration->position)};
        for (const auto &[key, record] : ledger.m_records)
            j["records"].push_back(records::toJson(record));
        for (const std::string &id : ledger.m_changeIdOrder)
            j["verdicts"].push_back({id, toJson(ledger.m_repliesByChangeId.at(id))});
        for (const auto &[key, claim] : ledger.m_claims)
            j["claims"].push_back({{"team", key.team.text()},
                                   {"key", key.key},
                                   {"digest", claim.digest},
                                   {"owner", toJson(claim.owner)},
                                   {"attempt", claim.attempt},
                                   {"state", static_cast<int>(claim.state)},
                                   {"answer", toJson(claim.answer)},
                                   {"ended", claim.endedAtMs}});
        for (const auto &[id, job] : ledger.m_jobs)
            j["jobs"].push_back(jobToJson(job));
        for (const auto &[name, lease] : ledger.m_leases)
            j["leases"].push_back({{"name", name},
                                   {"owner", toJson(lease.owner)},
                                   {"until", lease.expiresAtMs},
                                   {"fencing", lease.fencing}});
        for (const auto &[host, retirement] : ledger.m_retirements)
            j["retired"].push_back({{"owner", toJson(Owner{host, retirement.incarnation})},
                                    {"at", retirement.retiredAtMs}});
        if (const auto &suspects = ledger.m_crashSuspects)
            j["crashSuspects"] = {suspects->text, suspects->storedAtMs};
        return j;
    }

    static bool decodeState(const json &j, Ledger &ledger)
    {
        ledger.m_position = positionFromJson(j.at("position"));
        ledger.m_recordsPosition = positionFromJson(j.at("recordsPosition"));
        ledger.m_logTimeMs = j.at("time");
        ledger.m_lastFencingToken = j.at("fencing");
        ledger.m_groupIncarnation = j.at("incarnation");
        if (j.contains("configuration")) {
            const json &item = j.at("configuration");
            ledger.m_configuration =
                    StoredConfiguration{item.at(0), item.at(1), positionFromJson(item.at(2))};
        }
        for (const json &item : j.at("records")) {
            auto record = records::recordFromJson(item.get<std::string>());
            if (!record)
                return false;
            ledger.m_records.emplace(Ledger::RecordKey{record->kind, record->name}, *record);
        }
        for (const json &item : j.at("verdicts")) {
            ledger.m_changeIdOrder.push_back(item.at(0));
            ledger.m_repliesByChangeId.emplace(item.at(0), replyFromJson(item.at(1)));
        }
        for (const json &item : j.at("claims")) {
            Ledger::ClaimEntry claim;
            claim.digest = item.at("digest");
            claim.owner = ownerFromJson(item.at("owner"));
            claim.attempt = item.value("attempt", "");
            claim.state = static_cast<Ledger::ClaimState>(item.at("state").get<int>());
            claim.answer = answerFromJson(item.at("answer"));
            claim.endedAtMs = item.at("ended");
            ledger.m_claims.emplace(Ledger::ClaimKey{base::TeamId(item.at("team")), item.at("key")},
                                    claim);
        }
        for (const json &item : j.at("jobs")) {
            const Job job = jobFromJson(item);
            ledger.m_jobs.emplace(job.id, job);
        }
        for (const json &item : j.at("leases"))
            ledger.m_leases.emplace(item.at("name"),
                                    Ledger::Lease{ownerFromJson(item.at("owner")), item.at("until"),
                                                  item.at("fencing")});
        for (const json &item : j.value("retired", json::array())) {
            const Owner owner = ownerFromJson(item.at("owner"));
            ledger.m_retirements[owner.host] = {owner.incarnation, item.at("at")};
        }
        // Snapshots of earlier builds have none.
        if (j.contains("crashSuspects")) {
            const json &item = j.at("crashSuspects");
            ledger.m_crashSuspects = StoredCrashSuspects{item.at(0), item.at(1)};
        }
        return true;
    }
};

std::string Ledger::snapshot() const
{
    return toBytes(SnapshotCodec::encodeState(*this));
}

bool Ledger::restore(const std::string &bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return false;
    const json &j = *parsed;
    Ledger fresh(m_options);
    try {
        if (!SnapshotCodec::decodeState(j, fresh))
            return false;
    } catch (const json::exception &) {
        return false;
    }
    *this = std::move(fresh);
    return true;
}

} // namespace hyssop::ledger
