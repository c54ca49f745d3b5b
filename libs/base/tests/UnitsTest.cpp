#include "base/Base.h"

#include <catch2/catch.hpp>

using namespace hyssop::base;

TEST_CASE("endpoints parse only as IPv4 address and port")
{
    CHECK(parseEndpoint("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
    CHECK_FALSE(parseEndpoint("127.0.0.1"));
    CHECK_FALSE(parseEndpoint("host:80"));
    CHECK_FALSE(parseEndpoint("127.0.0.1:70000"));
    CHECK_FALSE(parseEndpoint("127.0.0.1:8x"));
}

TEST_CASE("sha256 matches the published vector")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a mailbox hands messages over in order")
{
    Mailbox<int> mailbox;
    mailbox.post(1);
    mailbox.post(2);
    CHECK(mailbox.drain() == std::vector<int>{1, 2});
    CHECK(mailbox.drain().empty());
}
