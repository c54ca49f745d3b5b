#include "EngineModel.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hyssop;
using namespace hyssop::standins;
using namespace std::chrono_literals;

namespace {

EngineParameters small()
{
    EngineParameters parameters;
    parameters.kvTokens = 10'000;
    parameters.chunkTokens = 1'000;
    return parameters;
}

Sequence sequence(const std::string &attempt, std::int64_t prompt, int priority = 1)
{
    Sequence it;
    it.attempt = attempt;
    it.owner = "h/1";
    it.promptTokens = prompt;
    it.maxTokens = 10;
    it.priority = priority;
    return it;
}

/// Step, from 1, at which each attempt made its first token.
std::map<std::string, int> firstTokens(EngineModel &model, int steps)
{
    std::map<std::string, int> first;
    for (int i = 1; i <= steps; ++i) {
        for (const MadeToken &token : model.step())
            first.emplace(token.attempt, i);
    }
    return first;
}

} // namespace

TEST_CASE("an urgent prompt is computed between the chunks of a batch prompt")
{
    EngineModel model(small());
    REQUIRE(model.add(sequence("batch", 6'000, 2)));
    model.step();
    REQUIRE(model.add(sequence("urgent", 1'000, 0)));
    const auto first = firstTokens(model, 8);
    CHECK(first.at("urgent") == 1);
    CHECK(first.at("batch") == 6);
}

TEST_CASE("small prompts pass one that waits for memory, but not for ever")
{
    EngineParameters parameters = small();
    parameters.maxBypass = 500ms;
    EngineModel model(parameters);
    REQUIRE(model.add(sequence("holder", 3'000)));
    model.step();
    REQUIRE(model.add(sequence("huge", 9'000)));
    bool hasPassed = false;
    int step = 0;
    for (; step < 2'000 && !(model.find("huge") && model.find("huge")->isRunning); ++step) {
        REQUIRE(model.add(sequence("small" + std::to_string(step), 100)));
        for (const MadeToken &token : model.step())
            hasPassed = hasPassed || token.attempt == "small0";
    }
    CHECK(hasPassed);
    CHECK(model.find("huge"));
    CHECK(step < 2'000);
}

TEST_CASE("a batch prompt that waits for memory is served although urgent ones keep coming")
{
    EngineParameters parameters = small();
    parameters.maxUrgentBypass = 1'000ms;
    EngineModel model(parameters);
    REQUIRE(model.add(sequence("holder", 3'000, 0)));
    model.step();
    REQUIRE(model.add(sequence("huge", 9'000, 2)));
    int step = 0;
    for (; step < 2'000 && !model.find("huge")->isRunning; ++step) {
        REQUIRE(model.add(sequence("urgent" + std::to_string(step), 1'000, 0)));
        model.step();
    }
    CHECK(step < 2'000);
}

TEST_CASE("a prompt larger than the engine runs in what its gang has reserved, and only there")
{
    EngineModel model(small());
    Sequence gang = sequence("g", 25'000);
    gang.isGang = true;
    CHECK_FALSE(model.add(gang));
    Reservation reservation;
    reservation.id = "g";
    reservation.tokens = 9'000;
    reservation.gangTokens = 27'000;
    reservation.ttl = 10s;
    REQUIRE(model.memory().reserve(reservation, {}) == KvMemory::Verdict::Held);
    REQUIRE(model.add(gang));
    const auto first = firstTokens(model, 40);
    CHECK(first.at("g") == 25);
    CHECK(model.isIdle());
    CHECK(model.memory().used() == 9'000);
}

TEST_CASE("used memory is back at its floor after finished and cancelled prompts")
{
    EngineModel model(small());
    for (int i = 0; i < 200; ++i)
        REQUIRE(model.add(sequence(std::to_string(i), 400 + i * 10)));
    for (int i = 0; i < 200; i += 3) {
        model.step();
        model.cancel(std::to_string(i));
    }
    for (int i = 0; i < 5'000 && !model.isIdle(); ++i)
        model.step();
    CHECK(model.isIdle());
    CHECK(model.memory().used() == 0);
}

TEST_CASE("a prompt with a cached prefix is computed from there, and evictions are reported")
{
    EngineModel model(small());
    Sequence one = sequence("one", 4'096);
    one.blocks = {1, 2, 3, 4};
    REQUIRE(model.add(one));
    firstTokens(model, 20);
    CHECK(model.cache().takeChanges().added == std::vector<std::uint64_t>{1, 2, 3, 4});
    one.attempt = "two";
    REQUIRE(model.add(one));
    CHECK(firstTokens(model, 20).at("two") == 1);
    REQUIRE(model.add(sequence("large", 9'000)));
    model.step();
    CHECK(model.cache().takeChanges().removed.size() == 4);
}
