#include "JobJson.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

using nlohmann::json;

namespace {

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string stringField(const json &value, const char *field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t integerField(const json &value, const char *field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

bool boolField(const json &value, const char *field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_boolean() && it->get<bool>();
}

ledger::Owner ownerOf(const json &job)
{
    return {base::HostId(stringField(job, "host")),
            base::Incarnation(integerField(job, "incarnation"))};
}

/// The job in a response to a job query, if there is one.
std::optional<json> foundJob(const std::string &answer)
{
    const auto parsed = base::parseJson(answer);
    if (!parsed || !parsed->is_object() || !boolField(*parsed, "found"))
        return std::nullopt;
    const auto job = parsed->find("job");
    return job != parsed->end() && job->is_object() ? std::optional(*job) : std::nullopt;
}

/// Fields of a job shown to callers, without its result.
json jobSummary(const json &job)
{
    return {{"id", stringField(job, "id")},
            {"team", stringField(job, "team")},
            {"state", stringField(job, "state")},
            {"attempts", integerField(job, "attempts")},
            {"age_ms", integerField(job, "ageMs")},
            {"remaining_ms", std::max<std::int64_t>(0, integerField(job, "remainingMs"))}};
}

} // namespace

std::string jobRequestJson(const caller::SubmitJobCall &call)
{
    json request{{"body", call.request}};
    if (call.head.urgency)
        request["urgency"] = records::urgencyName(*call.head.urgency);
    return dump(request);
}

std::optional<caller::CompletionCall> parseJobRequest(const std::string &request)
{
    const auto parsed = base::parseJson(request);
    if (!parsed || !parsed->is_object())
        return std::nullopt;
    const std::string body = stringField(*parsed, "body");
    const bool isChat = body.find("\"messages\"") != std::string::npos;
    auto call = caller::parseCompletion(body, isChat);
    if (!call)
        return std::nullopt;
    call->head.urgency = records::parseUrgency(stringField(*parsed, "urgency"));
    return *std::move(call);
}

std::string jobResultJson(const std::string &text, std::int64_t tokens)
{
    return dump({{"text", text}, {"tokens", tokens}});
}

std::string jobQueryJson(const base::JobId &id)
{
    return dump({{"id", id.text()}});
}

std::string jobListQueryJson(const base::TeamId &team)
{
    return dump({{"team", team.text()}});
}

std::string openJobsQueryJson(const ledger::Owner &self, const std::vector<base::JobId> &held,
                              std::size_t freeSlots, base::Millis wait)
{
    json ids = json::array();
    for (const base::JobId &id : held)
        ids.push_back(id.text());
    return json{{"host", self.host.text()},
                {"incarnation", self.incarnation.count()},
                {"held", ids},
                {"room", freeSlots},
                {"waitMs", wait.count()}}
            .dump();
}

std::vector<OpenJob> parseOpenJobs(const std::string &answer)
{
    std::vector<OpenJob> jobs;
    const auto parsed = base::parseJson(answer);
    if (!parsed || !parsed->is_object() || !parsed->contains("jobs"))
        return jobs;
    for (const json &element : parsed->at("jobs")) {
        OpenJob job;
        job.id = base::JobId(stringField(element, "id"));
        job.state = stringField(element, "state") == ledger::jobStateName(ledger::JobState::Waiting)
                            ? ledger::JobState::Waiting
                            : ledger::JobState::Running;
        job.owner = ownerOf(element);
        if (!job.id.isEmpty())
            jobs.push_back(std::move(job));
    }
    return jobs;
}

std::optional<std::string> latestJobAnswer(const std::vector<std::string> &answers)
{
    std::optional<std::string> newest;
    std::int64_t newestIndex = -1;
    for (const std::string &answer : answers) {
        const auto parsed = base::parseJson(answer);
        if (!foundJob(answer) || integerField(*parsed, "index") <= newestIndex)
            continue;
        newestIndex = integerField(*parsed, "index");
        newest = answer;
    }
    return newest;
}

bool isConfirmedAbsent(const std::vector<std::string> &answers)
{
    for (const std::string &answer : answers) {
        const auto parsed = base::parseJson(answer);
        if (parsed && parsed->is_object() && boolField(*parsed, "confirmed")
            && !boolField(*parsed, "found"))
            return true;
    }
    return false;
}

std::optional<TakenJob> parseTakenJob(const std::string &answer, const ledger::Owner &self)
{
    const auto job = foundJob(answer);
    if (!job || stringField(*job, "state") != ledger::jobStateName(ledger::JobState::Running)
        || ownerOf(*job) != self)
        return std::nullopt;
    TakenJob taken;
    taken.team = base::TeamId(stringField(*job, "team"));
    taken.request = stringField(*job, "request");
    taken.attempts = static_cast<int>(integerField(*job, "attempts"));
    taken.remaining = base::Millis(integerField(*job, "remainingMs"));
    return taken;
}

std::string acceptedJobResponse(const base::JobId &id)
{
    return dump({{"id", id.text()}, {"state", "waiting"}});
}

std::optional<std::string> jobResponse(const std::string &answer, const base::TeamId &team)
{
    const auto job = foundJob(answer);
    if (!job || stringField(*job, "team") != team.text())
        return std::nullopt;
    json view = jobSummary(*job);
    const std::string state = stringField(*job, "state");
    const std::string result = stringField(*job, "result");
    if (state == ledger::jobStateName(ledger::JobState::Done)) {
        if (const auto parsed = base::parseJson(result))
            view["result"] = *parsed;
    } else if (state == ledger::jobStateName(ledger::JobState::Failed)) {
        view["reason"] = result;
    }
    return dump(view);
}

std::string jobListResponse(const std::vector<std::string> &answers, std::size_t unreachableHosts)
{
    json list = json::array();
    std::map<std::string, json> newest;
    for (const std::string &answer : answers) {
        const auto parsed = base::parseJson(answer);
        if (!parsed || !parsed->is_object() || !parsed->contains("jobs"))
            continue;
        for (const json &job : parsed->at("jobs")) {
            json &slot = newest[stringField(job, "id")];
            if (slot.is_null() || integerField(slot, "age_ms") <= integerField(job, "ageMs"))
                slot = jobSummary(job);
        }
    }
    for (const auto &[id, job] : newest)
        list.push_back(job);
    // Jobs of an unreachable data centre are not lost, but they are missing from the list.
    return dump({{"jobs", list}, {"control_hosts_out_of_reach", unreachableHosts}});
}

} // namespace hyssop::entry
