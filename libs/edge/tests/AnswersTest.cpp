#include "../src/Answers.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::edge;

namespace {

gateway::ResponseHead headOf(int status, bool isMarked = false, bool isIdentified = true)
{
    gateway::ResponseHead head;
    head.status = status;
    if (isMarked)
        head.fields.push_back({kDeclinedField, "1"});
    head.isIdentified = isIdentified;
    return head;
}

ResponseMetadata sealed()
{
    ResponseMetadata metadata;
    metadata.isProvenRun = true;
    return metadata;
}

} // namespace

TEST_CASE("nothing is concluded from a response without the id of its request")
{
    // Otherwise bytes that belong to no request would make a request run at a second upstream.
    ResponseMetadata metadata = sealed();
    metadata.isNotExecuted = true;
    metadata.isMisdirected = true;
    metadata.isLeaving = true;
    metadata.backOff = base::Millis(5);
    metadata.runningRequests = 3;
    metadata.acceptedRate = fleet::kUnlimitedRate;
    const ResponseMetadata trusted = trustedMetadata(metadata, headOf(400, false, false));
    CHECK(trusted.isProvenRun);
    CHECK_FALSE(trusted.isNotExecuted);
    CHECK_FALSE(trusted.isMisdirected);
    CHECK_FALSE(trusted.isLeaving);
    CHECK(trusted.backOff == base::Millis(0));
    CHECK_FALSE(trusted.runningRequests);
    CHECK_FALSE(trusted.acceptedRate);
    CHECK(trustedMetadata(metadata, headOf(400)).isNotExecuted);
    CHECK(trustedMetadata(metadata, headOf(400)).isLeaving);
}

TEST_CASE("a status that promises a caller that its request has not run is not forwarded")
{
    for (const int status : {408, 421, 429, 503})
        CHECK(statusForCaller(status) == 502);
    for (const int status : {200, 400, 404, 409, 500, 502, 504})
        CHECK(statusForCaller(status) == status);
}

TEST_CASE("only a mark of another entry host means that it declined a call")
{
    // Upstreams may leave failures unsigned; taken as declined, the call would run at a second one.
    for (const int status : {400, 401, 404, 409, 413})
        CHECK(classifyRelayAnswer(headOf(status), {}) == RelayAnswer::Answer);
    for (const int status : {401, 404, 503})
        CHECK(classifyRelayAnswer(headOf(status, true), {}) == RelayAnswer::Declined);
    // Without the id of the call the mark may belong to another one.
    CHECK(classifyRelayAnswer(headOf(503, true, false), {}) == RelayAnswer::NotGenuine);
}

TEST_CASE("other answers to a relayed call")
{
    for (const int status : {429, 503}) {
        CHECK(classifyRelayAnswer(headOf(status), {}) == RelayAnswer::Rejected);
        CHECK(classifyRelayAnswer(headOf(status, false, false), {}) == RelayAnswer::NotGenuine);
        CHECK(classifyRelayAnswer(headOf(status), sealed()) == RelayAnswer::Answer);
    }
    for (const int status : {408, 421, 500, 502, 504})
        CHECK(classifyRelayAnswer(headOf(status), {}) == RelayAnswer::Failed);
    CHECK(classifyRelayAnswer(headOf(200), {}) == RelayAnswer::NotGenuine);
    CHECK(classifyRelayAnswer(headOf(200), sealed()) == RelayAnswer::Answer);
    // An upstream cannot decline in the name of a host.
    CHECK(classifyRelayAnswer(headOf(404, true), sealed()) == RelayAnswer::Answer);
}

TEST_CASE("a host that relays to or from an earlier build is understood")
{
    CHECK(encodeRelayTerms({3, false}) == "3");
    // An earlier build reads the digits at the start.
    CHECK(encodeRelayTerms({3, true}).starts_with("3;"));
    const RelayTerms current = decodeRelayTerms(encodeRelayTerms({3, true}));
    CHECK(current.attemptsLeft == 3);
    CHECK(current.needsDeclinedMark);
    const RelayTerms earlier = decodeRelayTerms("2");
    CHECK(earlier.attemptsLeft == 2);
    CHECK_FALSE(earlier.needsDeclinedMark);
    for (const char *text : {"", "x", "0", "-4", "99999999999999999999"})
        CHECK(decodeRelayTerms(text).attemptsLeft == 1);
    // It would take an unsigned 404 of an upstream as declined.
    CHECK(statusForRelay(404, false, earlier) == 502);
    CHECK(statusForRelay(404, true, earlier) == 404);
    CHECK(statusForRelay(404, false, current) == 404);
    CHECK(statusForRelay(503, true, current) == 502);
    CHECK(statusForRelay(200, true, earlier) == 200);
}
