#include "JobWatch.h"

namespace hyssop::soak {

using harness::Promise;

namespace {

constexpr base::Millis kInterval{1'000};

} // namespace

JobWatch::JobWatch(harness::System *system, harness::Scorecard *scorecard)
    : m_system(system)
    , m_scorecard(scorecard)
{ }

void JobWatch::add(const std::string &id, const harness::Host &entry,
                   const harness::Completion &completion)
{
    Job job{id, completion, {}, ""};
    const std::string path = "/v1/jobs/" + id;
    const http::Headers headers{{"x-team", completion.team}};
    for (const harness::Host *it : m_system->hosts(harness::Role::Entry, entry.dataCentre))
        job.polls.emplace_back(&m_system->client(), it->callers, path, kInterval, headers);
    m_jobs.push_back(std::move(job));
}

void JobWatch::tick(base::TimePoint now)
{
    std::erase_if(m_jobs, [&](Job &job) {
        for (Poll &poll : job.polls) {
            const auto reading = poll.tick(now);
            if (reading && read(job, reading->answer))
                return true;
        }
        return false;
    });
}

bool JobWatch::read(Job &job, const harness::Answer &answer)
{
    const nlohmann::json body = answer.json();
    if (!body.is_object())
        return false;
    job.lastSeen = body.dump();
    const std::string state = body.value("state", "");
    if (answer.status != 200 || (state != "done" && state != "failed"))
        return false;
    m_scorecard->check(Promise::EndsInTime, true, "");
    if (state == "failed") {
        ++m_failed;
        m_scorecard->check(Promise::OwnWholeAnswer, !body.value("reason", "").empty(),
                           "job " + job.id + " failed without a reason");
        return true;
    }
    ++m_done;
    const nlohmann::json result = body.value("result", nlohmann::json::object());
    const std::string whole =
            harness::expectedText(job.completion.prompt, job.completion.maxTokens);
    m_scorecard->check(Promise::OwnWholeAnswer, result.value("text", "") == whole,
                       "job " + job.id + " got another text");
    return true;
}

void JobWatch::giveUp()
{
    for (const Job &job : m_jobs)
        m_scorecard->check(Promise::EndsInTime, false, "job " + job.id + " " + job.lastSeen);
    m_jobs.clear();
}

} // namespace hyssop::soak
