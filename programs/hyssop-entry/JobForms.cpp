#include "JobForms.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

using nlohmann::json;

namespace {

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string textOf(const json &value, const char *field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t numberOf(const json &value, const char *field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

bool truthOf(const json &value, const char *field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_boolean() && it->get<bool>();
}

ledger::Owner ownerOf(const json &job)
{
    return {base::HostId(textOf(job, "host")), base::Incarnation(numberOf(job, "incarnation"))};
}

/// The job within an answer to its query, when there is one.
std::optional<json> jobIn(const std::string &answer)
{
    const auto parsed = base::parseJson(answer);
    if (!parsed || !parsed->is_object() || !truthOf(*parsed, "found"))
        return std::nullopt;
    const auto job = parsed->find("job");
    return job != parsed->end() && job->is_object() ? std::optional(*job) : std::nullopt;
}

/// What callers see of a job, but for its end.
json summaryView(const json &job)
{
    return {{"id", textOf(job, "id")},
            {"team", textOf(job, "team")},
            {"state", textOf(job, "state")},
            {"attempts", numberOf(job, "attempts")},
            {"age_ms", numberOf(job, "ageMs")},
            {"remaining_ms", std::max<std::int64_t>(0, numberOf(job, "remainingMs"))}};
}

} // namespace

std::string jobRequest(const caller::SubmitJobCall &call)
{
    json request{{"body", call.request}};
    if (call.head.urgency)
        request["urgency"] = records::urgencyName(*call.head.urgency);
    return dump(request);
}

std::optional<caller::CompletionCall> jobCall(const std::string &request)
{
    const auto parsed = base::parseJson(request);
    if (!parsed || !parsed->is_object())
        return std::nullopt;
    const std::string body = textOf(*parsed, "body");
    const bool isChat = body.find("\"messages\"") != std::string::npos;
    auto call = caller::parseCompletion(body, isChat);
    if (!call)
        return std::nullopt;
    call->head.urgency = records::parseUrgency(textOf(*parsed, "urgency"));
    return *std::move(call);
}

std::string jobResult(const std::string &text, std::int64_t tokens)
{
    return dump({{"text", text}, {"tokens", tokens}});
}

std::string jobQuery(const base::JobId &id)
{
    return dump({{"id", id.text()}});
}

std::string jobsQuery(const base::TeamId &team)
{
    return dump({{"team", team.text()}});
}

std::string openJobsQuery(const ledger::Owner &self, const std::vector<base::JobId> &held,
                          std::size_t room, base::Millis wait)
{
    json ids = json::array();
    for (const base::JobId &id : held)
        ids.push_back(id.text());
    return json{{"host", self.host.text()},
                {"incarnation", self.incarnation.count()},
                {"held", ids},
                {"room", room},
                {"waitMs", wait.count()}}
            .dump();
}

std::vector<OpenJob> openJobsFrom(const std::string &answer)
{
    std::vector<OpenJob> jobs;
    const auto parsed = base::parseJson(answer);
    if (!parsed || !parsed->is_object() || !parsed->contains("jobs"))
        return jobs;
    for (const json &one : parsed->at("jobs")) {
        OpenJob job;
        job.id = base::JobId(textOf(one, "id"));
        job.state = textOf(one, "state") == ledger::jobStateName(ledger::JobState::Waiting)
                            ? ledger::JobState::Waiting
                            : ledger::JobState::Running;
        job.owner = ownerOf(one);
        if (!job.id.isEmpty())
            jobs.push_back(std::move(job));
    }
    return jobs;
}

std::optional<std::string> newestJob(const std::vector<std::string> &answers)
{
    std::optional<std::string> newest;
    std::int64_t newestIndex = -1;
    for (const std::string &answer : answers) {
        const auto parsed = base::parseJson(answer);
        if (!jobIn(answer) || numberOf(*parsed, "index") <= newestIndex)
            continue;
        newestIndex = numberOf(*parsed, "index");
        newest = answer;
    }
    return newest;
}

bool isKnownAbsent(const std::vector<std::string> &answers)
{
    for (const std::string &answer : answers) {
        const auto parsed = base::parseJson(answer);
        if (parsed && parsed->is_object() && truthOf(*parsed, "confirmed")
            && !truthOf(*parsed, "found"))
            return true;
    }
    return false;
}

std::optional<TakenJob> takenJobFrom(const std::string &answer, const ledger::Owner &self)
{
    const auto job = jobIn(answer);
    if (!job || textOf(*job, "state") != ledger::jobStateName(ledger::JobState::Running)
        || ownerOf(*job) != self)
        return std::nullopt;
    TakenJob taken;
    taken.team = base::TeamId(textOf(*job, "team"));
    taken.request = textOf(*job, "request");
    taken.attempts = static_cast<int>(numberOf(*job, "attempts"));
    taken.remaining = base::Millis(numberOf(*job, "remainingMs"));
    return taken;
}

std::string acceptedJob(const base::JobId &id)
{
    return dump({{"id", id.text()}, {"state", "waiting"}});
}

std::optional<std::string> jobView(const std::string &answer, const base::TeamId &team)
{
    const auto job = jobIn(answer);
    if (!job || textOf(*job, "team") != team.text())
        return std::nullopt;
    json view = summaryView(*job);
    const std::string state = textOf(*job, "state");
    const std::string result = textOf(*job, "result");
    if (state == ledger::jobStateName(ledger::JobState::Done)) {
        if (const auto parsed = base::parseJson(result))
            view["result"] = *parsed;
    } else if (state == ledger::jobStateName(ledger::JobState::Failed)) {
        view["reason"] = result;
    }
    return dump(view);
}

std::string jobList(const std::vector<std::string> &answers, std::size_t silentHosts)
{
    json list = json::array();
    std::map<std::string, json> newest;
    for (const std::string &answer : answers) {
        const auto parsed = base::parseJson(answer);
        if (!parsed || !parsed->is_object() || !parsed->contains("jobs"))
            continue;
        for (const json &job : parsed->at("jobs")) {
            json &slot = newest[textOf(job, "id")];
            if (slot.is_null() || numberOf(slot, "age_ms") <= numberOf(job, "ageMs"))
                slot = summaryView(job);
        }
    }
    for (const auto &[id, job] : newest)
        list.push_back(job);
    // Jobs of a data centre that is out of reach are not lost, but not shown either.
    return dump({{"jobs", list}, {"control_hosts_out_of_reach", silentHosts}});
}

} // namespace hyssop::entry
