#include "Queries.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::control {

using nlohmann::json;

namespace {

constexpr std::string_view kHomePrefix = "home-";
/// Bound on the jobs in one answer.
constexpr std::size_t kMaxListed = 1'000;
/// Bound on how long a watch is held.
constexpr base::Millis kMaxWatch{10'000};

std::string textOf(const json &body, const char *field)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// A number of 0 or more; 0 when there is none.
std::int64_t numberOf(const json &body, const char *field)
{
    const auto it = body.find(field);
    const bool isNumber = it != body.end() && it->is_number_integer();
    return isNumber ? std::max<std::int64_t>(it->get<std::int64_t>(), 0) : 0;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// "job-<data centre>-<unique>" lives in "home-<data centre>".
std::string groupOfJob(const std::string &id)
{
    constexpr std::string_view prefix = "job-";
    const auto end = id.rfind('-');
    if (!id.starts_with(prefix) || end < prefix.size() || end == std::string::npos)
        return {};
    return std::string(kHomePrefix) + id.substr(prefix.size(), end - prefix.size());
}

json summaryOf(const ledger::Job &job, const ledger::Ledger &ledger)
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

const GroupView *find(const QueryView &view, const std::string &name)
{
    const auto it = std::find_if(view.groups.begin(), view.groups.end(),
                                 [&name](const GroupView &one) { return one.name == name; });
    return it == view.groups.end() ? nullptr : &*it;
}

std::string answerJob(const json &body, const QueryView &view)
{
    const std::string id = textOf(body, "id");
    const GroupView *group = find(view, groupOfJob(id));
    if (!group)
        return {};
    json answer{{"confirmed", group->isConfirmed},
                {"index", group->ledger->position().index.count()}};
    const ledger::Job *job = group->ledger->job(base::JobId(id));
    answer["found"] = job != nullptr;
    if (job) {
        answer["job"] = summaryOf(*job, *group->ledger);
        answer["job"]["request"] = job->request;
        answer["job"]["result"] = job->result;
    }
    return dump(answer);
}

std::string answerJobs(const json &body, const QueryView &view)
{
    const base::TeamId team(textOf(body, "team"));
    json answer{{"groups", json::array()}, {"jobs", json::array()}};
    for (const GroupView &group : view.groups) {
        if (!group.name.starts_with(kHomePrefix))
            continue;
        answer["groups"].push_back({{"name", group.name}, {"confirmed", group.isConfirmed}});
        for (const ledger::Job *job : group.ledger->jobsOfTeam(team)) {
            if (answer["jobs"].size() < kMaxListed)
                answer["jobs"].push_back(summaryOf(*job, *group.ledger));
        }
    }
    return dump(answer);
}

std::string answerOpenJobs(const QueryView &view)
{
    const GroupView *group = find(view, std::string(kHomePrefix) + view.dataCentre.text());
    if (!group)
        return {};
    auto open = waitingJobs(*group->ledger);
    const auto running = group->ledger->jobsInState(ledger::JobState::Running);
    open.insert(open.end(), running.begin(), running.end());
    return answerJobWatch(open, *group);
}

std::string answerScope(const json &body, const QueryView &view)
{
    const GroupView *group = find(view, std::string(kHomePrefix) + textOf(body, "dataCentre"));
    if (!group || group->ledger->groupIncarnation() == 0)
        return {};
    return dump({{"incarnation", std::to_string(group->ledger->groupIncarnation())},
                 {"confirmed", group->isConfirmed}});
}

std::string answerReporters(const QueryView &view)
{
    json answer{{"host", view.host.text()},
                {"dataCentre", view.dataCentre.text()},
                {"hosts", json::array()}};
    for (const operators::HostStatus &host : view.reporters)
        answer["hosts"].push_back({{"host", host.host.text()},
                                   {"dataCentre", host.dataCentre.text()},
                                   {"position", host.appliedIndex},
                                   {"ageMs", host.ageMs}});
    return dump(answer);
}

} // namespace

std::optional<JobWatch> jobWatchFrom(const peers::QueryRequest &request, base::TimePoint now)
{
    if (request.topic != "open-jobs")
        return std::nullopt;
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object() || textOf(*body, "host").empty())
        return std::nullopt;
    JobWatch watch;
    watch.owner.host = base::HostId(textOf(*body, "host"));
    watch.owner.incarnation = base::Incarnation(numberOf(*body, "incarnation"));
    watch.room = static_cast<std::size_t>(numberOf(*body, "room"));
    watch.until = now + std::min(base::Millis(numberOf(*body, "waitMs")), kMaxWatch);
    const auto held = body->find("held");
    if (held != body->end() && held->is_array()) {
        for (const json &id : *held) {
            if (id.is_string())
                watch.held.emplace(id.get<std::string>());
        }
    }
    return watch;
}

std::vector<const ledger::Job *> waitingJobs(const ledger::Ledger &ledger)
{
    auto waiting = ledger.jobsInState(ledger::JobState::Waiting);
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto *a, const auto *b) { return a->submittedMs < b->submittedMs; });
    return waiting;
}

std::string answerJobWatch(const std::vector<const ledger::Job *> &jobs, const GroupView &group)
{
    json answer{{"confirmed", group.isConfirmed}, {"jobs", json::array()}};
    for (const ledger::Job *job : jobs) {
        if (answer["jobs"].size() < kMaxListed)
            answer["jobs"].push_back(summaryOf(*job, *group.ledger));
    }
    return dump(answer);
}

std::vector<operators::HostStatus> reportersFrom(const std::string &answer)
{
    std::vector<operators::HostStatus> hosts;
    const auto parsed = base::parseJson(answer);
    if (!parsed || !parsed->is_object() || !parsed->contains("hosts"))
        return hosts;
    for (const json &one : parsed->at("hosts")) {
        if (one.is_object() && !textOf(one, "host").empty())
            hosts.push_back({base::HostId(textOf(one, "host")),
                             base::DataCentreId(textOf(one, "dataCentre")),
                             numberOf(one, "position"), numberOf(one, "ageMs")});
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
    if (request.topic == "reporters")
        return answerReporters(view);
    return {};
}

} // namespace hyssop::control
