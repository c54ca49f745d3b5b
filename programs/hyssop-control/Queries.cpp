#include "Queries.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::control {

using nlohmann::json;

namespace {

constexpr std::string_view kHomeGroupPrefix = "home-";
/// Maximum number of jobs in one answer.
constexpr std::size_t kMaxListedJobs = 1'000;
/// Maximum time for which a watch is held open.
constexpr base::Millis kMaxWatchTime{10'000};

std::string stringField(const json &body, const char *field)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Returns an integer field, with negative values clamped to 0; 0 if it is missing or not an
/// integer.
std::int64_t nonNegativeField(const json &body, const char *field)
{
    const auto it = body.find(field);
    const bool isNumber = it != body.end() && it->is_number_integer();
    return isNumber ? std::max<std::int64_t>(it->get<std::int64_t>(), 0) : 0;
}

std::string serialize(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Returns the group that stores a job: "home-<data centre>" for "job-<data centre>-<unique>".
/// Empty if the id has another form.
std::string homeGroupOfJob(const std::string &id)
{
    constexpr std::string_view jobPrefix = "job-";
    const auto end = id.rfind('-');
    if (!id.starts_with(jobPrefix) || end < jobPrefix.size() || end == std::string::npos)
        return {};
    return std::string(kHomeGroupPrefix) + id.substr(jobPrefix.size(), end - jobPrefix.size());
}

json jobSummary(const ledger::Job &job, const ledger::Ledger &ledger)
{
    const std::int64_t age = ledger.logTimeMs() - job.submittedAtMs;
    return {{"id", job.id.text()},
            {"team", job.team.text()},
            {"state", ledger::jobStateName(job.state)},
            {"attempts", job.attemptCount},
            {"host", job.owner.host.text()},
            {"incarnation", job.owner.incarnation.count()},
            {"ageMs", age},
            {"remainingMs", job.timeLimitMs - age}};
}

const GroupView *findGroup(const QueryView &view, const std::string &name)
{
    const auto it =
            std::find_if(view.groups.begin(), view.groups.end(),
                         [&name](const GroupView &element) { return element.name == name; });
    return it == view.groups.end() ? nullptr : &*it;
}

std::string answerJob(const json &body, const QueryView &view)
{
    const std::string id = stringField(body, "id");
    const GroupView *group = findGroup(view, homeGroupOfJob(id));
    if (!group)
        return {};
    json answer{{"confirmed", group->isConfirmed},
                {"index", group->ledger->position().index.count()}};
    const ledger::Job *job = group->ledger->job(base::JobId(id));
    answer["found"] = job != nullptr;
    if (job) {
        answer["job"] = jobSummary(*job, *group->ledger);
        answer["job"]["request"] = job->request;
        answer["job"]["result"] = job->result;
    }
    return serialize(answer);
}

std::string answerJobs(const json &body, const QueryView &view)
{
    const base::TeamId team(stringField(body, "team"));
    json answer{{"groups", json::array()}, {"jobs", json::array()}};
    for (const GroupView &group : view.groups) {
        if (!group.name.starts_with(kHomeGroupPrefix))
            continue;
        answer["groups"].push_back({{"name", group.name}, {"confirmed", group.isConfirmed}});
        for (const ledger::Job *job : group.ledger->jobsOfTeam(team)) {
            if (answer["jobs"].size() < kMaxListedJobs)
                answer["jobs"].push_back(jobSummary(*job, *group.ledger));
        }
    }
    return serialize(answer);
}

std::string answerOpenJobs(const QueryView &view)
{
    const GroupView *group =
            findGroup(view, std::string(kHomeGroupPrefix) + view.dataCentre.text());
    if (!group)
        return {};
    auto open = waitingJobs(*group->ledger);
    const auto running = group->ledger->jobsInState(ledger::JobState::Running);
    open.insert(open.end(), running.begin(), running.end());
    return jobListAnswer(open, *group);
}

std::string answerScope(const json &body, const QueryView &view)
{
    const GroupView *group =
            findGroup(view, std::string(kHomeGroupPrefix) + stringField(body, "dataCentre"));
    if (!group || group->ledger->groupIncarnation() == 0)
        return {};
    return serialize({{"incarnation", std::to_string(group->ledger->groupIncarnation())},
                      {"confirmed", group->isConfirmed}});
}

std::string answerStartedHosts(const json &body, const QueryView &view)
{
    const GroupView *group =
            findGroup(view, std::string(kHomeGroupPrefix) + stringField(body, "dataCentre"));
    if (!group)
        return {};
    const ledger::StartedHosts started = group->ledger->startedHosts();
    json answer{{"revision", started.revision}};
    if (nonNegativeField(body, "revision") == started.revision)
        return serialize(answer);
    answer["hosts"] = json::array();
    for (const ledger::Owner &it : started.hosts)
        answer["hosts"].push_back(
                {{"host", it.host.text()}, {"incarnation", it.incarnation.count()}});
    return serialize(answer);
}

std::string answerEntryHosts(const QueryView &view)
{
    json answer{{"host", view.host.text()},
                {"dataCentre", view.dataCentre.text()},
                {"hosts", json::array()}};
    for (const operators::HostStatus &host : view.entryHosts)
        answer["hosts"].push_back({{"host", host.host.text()},
                                   {"dataCentre", host.dataCentre.text()},
                                   {"position", host.appliedIndex},
                                   {"ageMs", host.ageMs}});
    return serialize(answer);
}

} // namespace

std::optional<JobWatch> parseJobWatch(const peers::QueryRequest &request, base::TimePoint now)
{
    if (request.topic != "open-jobs")
        return std::nullopt;
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object() || stringField(*body, "host").empty())
        return std::nullopt;
    JobWatch watch;
    watch.owner.host = base::HostId(stringField(*body, "host"));
    watch.owner.incarnation = base::Incarnation(nonNegativeField(*body, "incarnation"));
    watch.capacity = static_cast<std::size_t>(nonNegativeField(*body, "room"));
    watch.deadline = now + std::min(base::Millis(nonNegativeField(*body, "waitMs")), kMaxWatchTime);
    const auto held = body->find("held");
    if (held != body->end() && held->is_array()) {
        for (const json &id : *held) {
            if (id.is_string())
                watch.knownJobs.emplace(id.get<std::string>());
        }
    }
    return watch;
}

std::vector<const ledger::Job *> waitingJobs(const ledger::Ledger &ledger)
{
    auto waiting = ledger.jobsInState(ledger::JobState::Waiting);
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto *a, const auto *b) {
        return a->submittedAtMs < b->submittedAtMs;
    });
    return waiting;
}

std::string jobListAnswer(const std::vector<const ledger::Job *> &jobs, const GroupView &group)
{
    json answer{{"confirmed", group.isConfirmed}, {"jobs", json::array()}};
    for (const ledger::Job *job : jobs) {
        if (answer["jobs"].size() < kMaxListedJobs)
            answer["jobs"].push_back(jobSummary(*job, *group.ledger));
    }
    return serialize(answer);
}

std::vector<operators::HostStatus> parseEntryHosts(const std::string &answer)
{
    std::vector<operators::HostStatus> hosts;
    const auto parsed = base::parseJson(answer);
    if (!parsed || !parsed->is_object() || !parsed->contains("hosts"))
        return hosts;
    for (const json &element : parsed->at("hosts")) {
        if (element.is_object() && !stringField(element, "host").empty())
            hosts.push_back({base::HostId(stringField(element, "host")),
                             base::DataCentreId(stringField(element, "dataCentre")),
                             nonNegativeField(element, "position"),
                             nonNegativeField(element, "ageMs")});
    }
    return hosts;
}

std::string answerQuery(const peers::QueryRequest &request, const QueryView &view)
{
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object())
        return {};
    if (request.topic == "job")
        return answerJob(*body, view);
    if (request.topic == "jobs")
        return answerJobs(*body, view);
    if (request.topic == "open-jobs")
        return answerOpenJobs(view);
    if (request.topic == "scope")
        return answerScope(*body, view);
    if (request.topic == "started-hosts")
        return answerStartedHosts(*body, view);
    if (request.topic == "reporters")
        return answerEntryHosts(view);
    return {};
}

} // namespace hyssop::control
