#include "Calls.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;

TEST_CASE("a request is answered whole, streamed and not, through any entry")
{
    Plan plan;
    plan.entriesEach = 2;
    plan.enginesEach = 2;
    System system(plan);
    bringUp(system);
    for (Host *entry : system.hosts(Role::Entry)) {
        for (const bool wantsStream : {false, true}) {
            Completion completion;
            completion.wantsStream = wantsStream;
            completion.maxTokens = 12;
            completion.prompt = "Ferries on Sunday, from " + entry->name;
            const Completed completed = complete(system, *entry, completion);
            INFO(entry->name << " streamed " << wantsStream);
            CHECK(completed.status == 200);
            CHECK(completed.isWhole);
            CHECK(completed.text == expectedText(completion.prompt, 12));
        }
    }
}

TEST_CASE("many callers at once each get their own answer")
{
    Plan plan;
    plan.entriesEach = 2;
    plan.enginesEach = 2;
    System system(plan);
    bringUp(system);
    checkOwnAnswers(system, 200);
}
