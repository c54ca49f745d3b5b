#include "ControlServer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hyssop;
using namespace hyssop::standins;
using nlohmann::json;

namespace {

constexpr int kReceiveLimitSeconds = 20;

/// Owns a blocking socket with a bounded wait.
class Socket
{
public:
    explicit Socket(int fd)
        : m_fd(fd)
    {
        const timeval limit{kReceiveLimitSeconds, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~Socket() { ::close(m_fd); }
    Socket(const Socket &) = delete;

    int fd() const { return m_fd; }
    void send(const std::string &text) { ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL); }
    /// Exactly \a n bytes, fewer at the end of the stream.
    std::string receive(std::size_t n)
    {
        std::string text(n, '\0');
        const ssize_t got = ::recv(m_fd, text.data(), n, MSG_WAITALL);
        text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return text;
    }
    /// 0 at an orderly end, the error number otherwise.
    int endOfStream()
    {
        char byte = 0;
        const ssize_t got = ::recv(m_fd, &byte, 1, 0);
        REQUIRE(got <= 0);
        return got == 0 ? 0 : errno;
    }

private:
    int m_fd;
};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    return name;
}

/// A listening target, a proxy with one link to it, and the proxy's thread.
class Bench
{
public:
    Bench()
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name = loopback(0);
        REQUIRE(::bind(m_listener.fd(), reinterpret_cast<sockaddr *>(&name), sizeof name) == 0);
        ::listen(m_listener.fd(), 8);
        socklen_t size = sizeof name;
        ::getsockname(m_listener.fd(), reinterpret_cast<sockaddr *>(&name), &size);
        auto made = Forwarder::create({{{"127.0.0.1", 0}, {"127.0.0.1", ntohs(name.sin_port)}}});
        REQUIRE(made);
        m_forwarder = *std::move(made);
        m_thread = std::thread([this] { m_forwarder->run(); });
    }
    ~Bench()
    {
        m_forwarder->stop();
        m_thread.join();
    }

    int connect()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name = loopback(m_forwarder->address(0).port);
        REQUIRE(::connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0);
        return fd;
    }
    int accept() { return ::accept(m_listener.fd(), nullptr, nullptr); }

    bool order(const json &order)
    {
        std::promise<bool> done;
        m_forwarder->post([&](Forwarder &it) { done.set_value(applyOrder(it, 0, order)); });
        return done.get_future().get();
    }
    LinkState state()
    {
        std::promise<LinkState> done;
        m_forwarder->post([&](Forwarder &it) { done.set_value(it.state(0)); });
        return done.get_future().get();
    }
    /// Waits until the forward direction has received \a n bytes.
    void awaitReceived(std::int64_t n)
    {
        while (state().forwardCounts.received < n)
            std::this_thread::yield();
    }

private:
    Socket m_listener;
    std::unique_ptr<Forwarder> m_forwarder;
    std::thread m_thread;
};

/// A bench with one connection through its link.
struct OpenLink
{
    Bench bench;
    Socket client{bench.connect()};
    Socket target{bench.accept()};
};

} // namespace

TEST_CASE("bytes pass both ways and the end of a stream passes on")
{
    OpenLink link;
    auto &[bench, client, target] = link;
    client.send("hello");
    CHECK(target.receive(5) == "hello");
    target.send("answer");
    CHECK(client.receive(6) == "answer");
    ::shutdown(client.fd(), SHUT_WR);
    CHECK(target.endOfStream() == 0);
    target.send("late");
    CHECK(client.receive(4) == "late");
    CHECK(bench.state().forwardCounts.sent == 5);
    CHECK(bench.state().backwardCounts.sent == 10);
}

TEST_CASE("a silent cut of one direction leaves the other open, and healing resets the stream")
{
    OpenLink link;
    auto &[bench, client, target] = link;
    REQUIRE(bench.order({{"action", "rules"}, {"direction", "forward"}, {"drop", true}}));
    client.send("lost");
    target.send("heard");
    CHECK(client.receive(5) == "heard");
    bench.awaitReceived(4);
    CHECK(bench.state().forwardCounts.dropped == 4);
    CHECK(bench.state().forwardCounts.sent == 0);
    REQUIRE(bench.order({{"action", "heal"}}));
    CHECK(target.endOfStream() == ECONNRESET);
    CHECK(client.endOfStream() == ECONNRESET);
}

TEST_CASE("a reset reaches both ends")
{
    OpenLink link;
    auto &[bench, client, target] = link;
    client.send("x");
    CHECK(target.receive(1) == "x");
    REQUIRE(bench.order({{"action", "reset"}}));
    CHECK(client.endOfStream() == ECONNRESET);
    CHECK(target.endOfStream() == ECONNRESET);
}

TEST_CASE("a half-close ends one direction only")
{
    OpenLink link;
    auto &[bench, client, target] = link;
    client.send("x");
    CHECK(target.receive(1) == "x");
    REQUIRE(bench.order({{"action", "half-close"}, {"direction", "backward"}}));
    CHECK(client.endOfStream() == 0);
    client.send("still");
    CHECK(target.receive(5) == "still");
}

TEST_CASE("refused connections are reset and counted")
{
    Bench bench;
    REQUIRE(bench.order({{"action", "rules"}, {"refuse", true}}));
    Socket client(bench.connect());
    CHECK(client.endOfStream() == ECONNRESET);
    CHECK(bench.state().refused == 1);
    CHECK(bench.state().accepted == 0);
    REQUIRE(bench.order({{"action", "heal"}}));
    Socket again(bench.connect());
    Socket target(bench.accept());
    again.send("y");
    CHECK(target.receive(1) == "y");
}

TEST_CASE("delayed and slowed bytes arrive no earlier than their rules allow, whole and in order")
{
    OpenLink link;
    auto &[bench, client, target] = link;
    REQUIRE(bench.order({{"action", "rules"}, {"delayMs", 50}, {"bytesPerSecond", 100'000}}));
    std::string text;
    for (int i = 0; i < 2'000; ++i)
        text += std::to_string(i) + " ";
    const base::TimePoint start = base::monotonicNow();
    client.send(text);
    CHECK(target.receive(text.size()) == text);
    // The lower bounds of the rules themselves; a slow machine only takes longer.
    CHECK(base::monotonicNow() - start >= base::Millis(50));
}

TEST_CASE("malformed orders are refused")
{
    Bench bench;
    CHECK_FALSE(bench.order({{"action", "unknown"}}));
    CHECK_FALSE(bench.order({{"action", "rules"}, {"delayMs", "soon"}}));
    CHECK_FALSE(bench.order({{"action", "rules"}, {"delayMs", -1}}));
    CHECK_FALSE(bench.order({{"action", "reset"}, {"direction", "sideways"}}));
    CHECK_FALSE(bench.order(json::array()));
}
