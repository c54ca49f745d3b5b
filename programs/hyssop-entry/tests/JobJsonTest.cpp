#include "JobJson.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;

namespace {

std::string answer(int index, const std::string &state, const std::string &result)
{
    return R"({"found":true,"confirmed":true,"index":)" + std::to_string(index)
           + R"(,"job":{"id":"job-x-1","team":"desk","state":")" + state
           + R"(","host":"a","incarnation":1,"attempts":2,"remainingMs":5,"request":"r","result":)"
           + result + "}}";
}

} // namespace

TEST_CASE("a team sees its own jobs and no jobs of other teams")
{
    const std::string done = answer(3, "done", R"("{\"text\":\"whole\"}")");
    const auto own = jobResponse(done, base::TeamId("desk"));
    REQUIRE(own);
    CHECK(own->find("whole") != std::string::npos);
    CHECK_FALSE(jobResponse(done, base::TeamId("office")));
    CHECK(jobResponse(answer(3, "failed", R"("out_of_time")"), base::TeamId("desk"))
                  ->find(R"("reason":"out_of_time")")
          != std::string::npos);
}

TEST_CASE("the answer at the highest log index is used, and a job is absent only if that is "
          "confirmed")
{
    const std::string older = answer(3, "running", R"("")");
    const std::string newer = answer(4, "done", R"("{}")");
    CHECK(latestJobAnswer({newer, older, "no JSON"}) == newer);
    CHECK_FALSE(latestJobAnswer({R"({"found":false,"confirmed":true,"index":9})"}));
    CHECK(isConfirmedAbsent({R"({"found":false,"confirmed":true,"index":9})"}));
    CHECK_FALSE(isConfirmedAbsent({R"({"found":false,"confirmed":false,"index":9})"}));
}

TEST_CASE("only a job that this host has taken is run")
{
    const ledger::Owner self{base::HostId("a"), base::Incarnation(1)};
    const auto taken = parseTakenJob(answer(3, "running", R"("")"), self);
    REQUIRE(taken);
    CHECK(taken->attempts == 2);
    CHECK(taken->request == "r");
    const ledger::Owner later{base::HostId("a"), base::Incarnation(2)};
    CHECK_FALSE(parseTakenJob(answer(3, "running", R"("")"), later));
    CHECK_FALSE(parseTakenJob(answer(3, "waiting", R"("")"), self));
}

TEST_CASE("a submission encoded for the log decodes to the same call")
{
    caller::SubmitJobCall call;
    call.head.urgency = records::Urgency::Batch;
    call.request = R"({"model":"m","prompt":"p","max_tokens":7})";
    const auto read = parseJobRequest(jobRequestJson(call));
    REQUIRE(read);
    CHECK(read->model == "m");
    CHECK(read->maxTokens == 7);
    CHECK(read->head.urgency == records::Urgency::Batch);
    CHECK_FALSE(parseJobRequest("{}"));
}

TEST_CASE("a listed job without an id is ignored")
{
    const auto jobs = parseOpenJobs(R"({"jobs":[{"state":"waiting"},7,{"id":"j1"}]})");
    REQUIRE(jobs.size() == 1);
    CHECK(jobs.front().id == base::JobId("j1"));
}
