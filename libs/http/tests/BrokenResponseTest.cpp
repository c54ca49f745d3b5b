// Servers that send what is no response, or end their connection before the response ends.

#include "http/Http.h"
#include "ScriptedServer.h"

#include <catch2/catch.hpp>

#include <array>

using namespace hyssop;
using namespace hyssop::http;
using testing::Ending;
using testing::Script;

namespace {

constexpr std::size_t kUploadBytes = 900'000;
constexpr auto kUnframedHead = "HTTP/1.1 200 OK\r\n\r\n";
/// Pauses between the last byte of a response and what follows it.
constexpr std::array<base::Millis, 6> kEndingDelays{base::Millis(0),  base::Millis(1),
                                                    base::Millis(2),  base::Millis(5),
                                                    base::Millis(20), base::Millis(60)};
constexpr base::Millis kTimeout{3'000};

class Recorder final : public CallHandler
{
public:
    explicit Recorder(Loop *it)
        : loop(it)
    { }
    void onHead(CallId, int answered, const Headers &) override { status = answered; }
    void onData(CallId, std::string_view data) override { body += data; }
    void onDone(CallId) override
    {
        isComplete = true;
        loop->stop();
    }
    void onFailed(CallId, const CallError &failed) override
    {
        error = failed;
        loop->stop();
    }

    Loop *loop;
    int status = 0;
    std::string body;
    bool isComplete = false;
    std::optional<CallError> error;
};

/// Calls the server, with an upload if \a bodyBytes is not 0.
Recorder callTo(const testing::ScriptedServer &server, std::size_t bodyBytes)
{
    const auto loop = std::move(*Loop::create(64));
    Recorder recorder(loop.get());
    Call call;
    call.to = server.address();
    call.method = bodyBytes > 0 ? Method::Post : Method::Get;
    call.path = "/a";
    call.body = std::string(bodyBytes, 'x');
    call.timeout = kTimeout;
    loop->call(std::move(call), &recorder);
    loop->run();
    return recorder;
}

/// Calls often, with each of the delays, and returns how many responses were taken as complete.
int countComplete(const std::string &response, Ending ending, std::size_t bodyBytes,
                  int runsPerDelay)
{
    int completeCount = 0;
    for (const base::Millis delay : kEndingDelays) {
        for (int n = 0; n < runsPerDelay; ++n) {
            const testing::ScriptedServer server({response, ending, delay});
            const Recorder recorder = callTo(server, bodyBytes);
            completeCount += recorder.isComplete ? 1 : 0;
            if (!recorder.isComplete) {
                REQUIRE(recorder.error);
                CHECK(recorder.error->failure != CallFailure::Timeout);
            }
        }
    }
    return completeCount;
}

void checkIsInvalid(const std::string &response)
{
    CAPTURE(response);
    const testing::ScriptedServer server({response, Ending::Close});
    const Recorder recorder = callTo(server, 0);
    CHECK(recorder.status == 0);
    CHECK_FALSE(recorder.isComplete);
    REQUIRE(recorder.error);
    CHECK(recorder.error->failure != CallFailure::Timeout);
    CHECK(recorder.error->sent == SendState::MayHaveArrived);
}

} // namespace

TEST_CASE("a response without a length that is reset is not complete")
{
    const std::string response = std::string(kUnframedHead) + std::string(600, 'r');
    CHECK(countComplete(response, Ending::Reset, 0, 20) == 0);
    CHECK(countComplete(kUnframedHead, Ending::Reset, 0, 20) == 0);
}

TEST_CASE("a response without a length that is reset during the upload is not complete")
{
    const std::string response = std::string(kUnframedHead) + std::string(600, 'r');
    CHECK(countComplete(response, Ending::Reset, kUploadBytes, 20) == 0);
    CHECK(countComplete(kUnframedHead, Ending::Reset, kUploadBytes, 20) == 0);
    CHECK(countComplete(response, Ending::ReadAndReset, kUploadBytes, 5) == 0);
}

TEST_CASE("a response with a length or in chunks that is cut is not complete")
{
    for (const Ending ending : {Ending::Reset, Ending::Close}) {
        CHECK(countComplete("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", ending, 0, 2) == 0);
        CHECK(countComplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
                            ending, 0, 2)
              == 0);
    }
}

TEST_CASE("a response without a length that ends with its connection is complete")
{
    const int all = 5 * static_cast<int>(kEndingDelays.size());
    const std::string response = std::string(kUnframedHead) + "whole";
    CHECK(countComplete(response, Ending::Close, 0, 5) == all);
    CHECK(countComplete(response, Ending::ReadAndClose, kUploadBytes, 5) == all);
}

TEST_CASE("a response that ends before the upload is complete if the upload is read")
{
    const int all = 5 * static_cast<int>(kEndingDelays.size());
    CHECK(countComplete(std::string(kUnframedHead) + "whole", Ending::Close, kUploadBytes, 5)
          == all);
    CHECK(countComplete("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", Ending::Close,
                        kUploadBytes, 5)
          == all);
}

TEST_CASE("a response whose head has a field name that is not a token is invalid")
{
    using namespace std::string_literals;
    for (const std::string &line : {"X Y: 1"s, "X-A : 1"s, "X\tA: 1"s, ": 1"s, "X\x01Y: 1"s,
                                    "X\x80Y: 1"s, "X\0Y: 1"s, "X-A"s, "Content-Length : 3"s}) {
        checkIsInvalid("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc");
        checkIsInvalid("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nabc");
    }
}

TEST_CASE("a response whose status is none is invalid")
{
    for (const char *status : {"000", "099", "101", "600", "999", "20", "2000"}) {
        checkIsInvalid(std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 3\r\n\r\nabc");
        checkIsInvalid(std::string("HTTP/1.1 ") + status + " OK\r\n\r\nabc");
    }
}

TEST_CASE("a response that is framed in two ways is invalid")
{
    checkIsInvalid("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    checkIsInvalid("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n0\r\n\r\n");
    checkIsInvalid("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc");
}

TEST_CASE("a response in chunks and one after an interim response are complete")
{
    const std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "2;x=1\r\nab\r\n3\r\ncde\r\n0\r\nX: 1\r\n\r\n";
    for (const std::string &response :
         {chunks, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + chunks}) {
        const testing::ScriptedServer server({response, Ending::ReadAndReset, base::Millis(20)});
        const Recorder recorder = callTo(server, 10);
        CHECK(recorder.isComplete);
        CHECK(recorder.status == 200);
        CHECK(recorder.body == "abcde");
    }
}

TEST_CASE("a response without a body is complete at its head")
{
    const testing::ScriptedServer server(
            {"HTTP/1.1 204 No Content\r\n\r\n", Ending::ReadAndReset, base::Millis(20)});
    const Recorder recorder = callTo(server, 10);
    CHECK(recorder.isComplete);
    CHECK(recorder.status == 204);
}
