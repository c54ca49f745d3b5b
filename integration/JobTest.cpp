#include "Calls.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr base::Millis kDoneLimit{20'000};
constexpr base::Millis kTakeOverLimit{60'000};

http::Call jobCall(const Host &entry, http::Method method, const std::string &path)
{
    http::Call call;
    call.to = entry.callers;
    call.method = method;
    call.path = path;
    call.headers.push_back({"x-team", "office-1"});
    call.timeout = base::Millis(10'000);
    return call;
}

std::string submitJob(System &system, const Host &entry, std::int64_t maxTokens)
{
    http::Call call = jobCall(entry, http::Method::Post, "/v1/jobs");
    call.body =
            nlohmann::json{{"model", "chat"}, {"prompt", "A long walk"}, {"max_tokens", maxTokens}}
                    .dump();
    const Answer answer = system.client().start(std::move(call)).wait();
    REQUIRE(answer.status == 202);
    return answer.json().at("id");
}

std::string stateOf(System &system, const Host &entry, const std::string &id)
{
    const http::Call call = jobCall(entry, http::Method::Get, "/v1/jobs/" + id);
    return system.client().start(call).wait().json().value("state", "");
}

Host *runnerOf(System &system)
{
    for (Host *entry : system.hosts(Role::Entry)) {
        if (entry->process && entry->process->isRunning()
            && metric(system, *entry, "hyssop_jobs_running") > 0)
            return entry;
    }
    return nullptr;
}

} // namespace

TEST_CASE("submitted jobs are found by watching hosts and done")
{
    Plan plan;
    plan.entriesEach = 2;
    System system(plan);
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    constexpr int kJobs = 12;
    std::vector<std::string> ids;
    ids.reserve(kJobs);
    for (int i = 0; i < kJobs; ++i)
        ids.push_back(submitJob(system, entry, 4 + i));
    for (const std::string &id : ids)
        CHECK(eventually(kDoneLimit, [&] { return stateOf(system, entry, id) == "done"; }));
}

TEST_CASE("the job of a killed host is taken over by another")
{
    Plan plan;
    plan.entriesEach = 2;
    System system(plan);
    bringUp(system);
    submitJob(system, system.host("entry-1-1"), 30'000);
    Host *first = nullptr;
    REQUIRE(eventually(kDoneLimit, [&] { return (first = runnerOf(system)) != nullptr; }));
    system.kill(*first);
    Host *second = nullptr;
    REQUIRE(eventually(kTakeOverLimit, [&] { return (second = runnerOf(system)) != nullptr; }));
    CHECK(second != first);
}
