#include "http1/Http1.h"

#include <catch2/catch.hpp>

using namespace hyssop::http1;

namespace {

struct Parsed
{
    bool isValid = false;
    bool isComplete = false;
    int status = 0;
    Fields fields;
    std::string body;
};

/// Parses a response, byte by byte or at once.
Parsed parse(const std::string &text, bool isBytewise)
{
    Parser<false> parser;
    boost::beast::error_code ec;
    Parsed parsed;
    std::string input;
    parsed.isValid = true;
    const std::size_t step = isBytewise ? 1 : text.size();
    for (std::size_t pos = 0; pos < text.size() && parsed.isValid; pos += step) {
        input += text.substr(pos, step);
        parsed.isValid = feed(parser, input, ec);
    }
    parsed.isComplete = parsed.isValid && parser.is_done();
    parsed.status = parser.status;
    parsed.fields = parser.fields;
    parsed.body = parser.body;
    return parsed;
}

void checkIsInvalid(const std::string &text)
{
    CAPTURE(text);
    for (const bool isBytewise : {false, true}) {
        const Parsed parsed = parse(text, isBytewise);
        CHECK_FALSE(parsed.isValid);
    }
}

} // namespace

TEST_CASE("a response with a length is parsed in one piece and byte by byte")
{
    for (const bool isBytewise : {false, true}) {
        const Parsed parsed = parse(
                "HTTP/1.1 200 OK\r\nX-One:  a b \r\ncontent-length: 3\r\n\r\nabc", isBytewise);
        CHECK(parsed.isComplete);
        CHECK(parsed.status == 200);
        CHECK(fieldValue(parsed.fields, "x-one") == "a b");
        CHECK(parsed.body == "abc");
    }
}

TEST_CASE("a response whose head has a field name that is not a token is invalid")
{
    using namespace std::string_literals;
    for (const std::string &line :
         {"X Y: 1"s, "X-A : 1"s, "X\tA: 1"s, "X-A\t: 1"s, " X-A: 1"s, ": 1"s, "X\x01Y: 1"s,
          "X\x7fY: 1"s, "X\x80Y: 1"s, "X\0Y: 1"s, "X-A"s, "X(A): 1"s, "Content-Length : 3"s})
        checkIsInvalid("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc");
}

TEST_CASE("a response whose head has a control byte in a value is invalid")
{
    using namespace std::string_literals;
    for (const std::string &line : {"X: a\x01 b"s, "X: a\0b"s, "X: a\x7f"s})
        checkIsInvalid("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc");
}

TEST_CASE("a response that is framed in two ways is invalid")
{
    for (const char *fields : {"Content-Length: 3\r\nContent-Length: 4\r\n",
                               "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"})
        checkIsInvalid(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n3\r\nabc\r\n0\r\n\r\n");
    checkIsInvalid("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc");
    checkIsInvalid("HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n\r\nabc");
}

TEST_CASE("a response whose status has not three digits is invalid")
{
    for (const char *status : {"20", "2000", "2 0", "abc", "-20", ""})
        checkIsInvalid(std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 3\r\n\r\nabc");
}

TEST_CASE("a response whose status is outside of 100 to 599 is invalid")
{
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        checkIsInvalid(std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 3\r\n\r\nabc");
        checkIsInvalid(std::string("HTTP/1.1 ") + status + " OK\r\n\r\nabc");
    }
    for (const int status : {100, 103, 200, 599})
        CHECK(parse("HTTP/1.1 " + std::to_string(status) + " OK\r\n\r\n", false).isValid);
}

// Requests here never ask for an upgrade.
TEST_CASE("a response that switches protocols is invalid")
{
    checkIsInvalid("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
}
