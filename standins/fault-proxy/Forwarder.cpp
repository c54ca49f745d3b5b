#include "Forwarder.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::standins {

namespace {

constexpr int kBacklog = 512;

sockaddr_in socketAddress(const base::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

int openSocket()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Closes with a reset in place of an orderly end.
void abortSocket(int fd)
{
    const linger abort{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(fd);
}

int pollTimeout(base::TimePoint now, base::TimePoint wake)
{
    if (wake == base::TimePoint::max())
        return -1;
    return static_cast<int>(std::chrono::ceil<base::Millis>(wake - now).count());
}

} // namespace

tl::expected<std::unique_ptr<Forwarder>, std::string> Forwarder::create(
        const std::vector<LinkAddress> &links)
{
    std::unique_ptr<Forwarder> forwarder(new Forwarder);
    forwarder->m_wakeup = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    for (const LinkAddress &link : links) {
        if (const auto opened = forwarder->open(link); !opened)
            return tl::unexpected(opened.error());
    }
    return forwarder;
}

Forwarder::~Forwarder()
{
    for (const auto &link : m_links)
        ::close(link->listener);
    ::close(m_wakeup);
}

tl::expected<void, std::string> Forwarder::open(const LinkAddress &address)
{
    auto link = std::make_unique<Link>();
    link->address = address;
    link->listener = openSocket();
    const int on = 1;
    ::setsockopt(link->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name = socketAddress(address.listen);
    const int fd = link->listener;
    m_links.push_back(std::move(link));
    if (::bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0
        || ::listen(fd, kBacklog) != 0)
        return tl::unexpected("cannot listen on " + address.listen.text() + ": "
                              + std::strerror(errno));
    return {};
}

base::Endpoint Forwarder::address(std::size_t link) const
{
    sockaddr_in name{};
    socklen_t size = sizeof name;
    ::getsockname(m_links.at(link)->listener, reinterpret_cast<sockaddr *>(&name), &size);
    return {m_links.at(link)->address.listen.address, ntohs(name.sin_port)};
}

LinkState &Forwarder::state(std::size_t link)
{
    return m_links.at(link)->state;
}

std::size_t Forwarder::openConnections(std::size_t link) const
{
    return m_links.at(link)->connections.size();
}

void Forwarder::reset(std::size_t link)
{
    for (Connection &connection : m_links.at(link)->connections)
        connection.reset();
}

void Forwarder::halfClose(std::size_t link, Direction direction)
{
    for (Connection &connection : m_links.at(link)->connections)
        connection.halfClose(direction);
}

void Forwarder::heal(std::size_t link)
{
    LinkState &state = m_links.at(link)->state;
    state.forward = {};
    state.backward = {};
    state.refuses = false;
    for (Connection &connection : m_links.at(link)->connections) {
        if (connection.hasLost())
            connection.reset();
    }
}

void Forwarder::post(Action action)
{
    m_mailbox.post(std::move(action));
    ::eventfd_write(m_wakeup, 1);
}

void Forwarder::stop()
{
    post([](Forwarder &it) { it.m_isStopping = true; });
}

void Forwarder::run()
{
    while (!m_isStopping)
        turn(base::monotonicNow());
}

void Forwarder::runActions()
{
    eventfd_t count = 0;
    ::eventfd_read(m_wakeup, &count);
    for (const Action &action : m_mailbox.drain())
        action(*this);
}

void Forwarder::turn(base::TimePoint now)
{
    std::vector<pollfd> fds{{m_wakeup, POLLIN, 0}};
    base::TimePoint wake = base::TimePoint::max();
    for (const auto &link : m_links) {
        fds.push_back({link->listener, POLLIN, 0});
        for (const Connection &connection : link->connections)
            connection.addInterest(fds, now, wake);
    }
    ::poll(fds.data(), fds.size(), pollTimeout(now, wake));
    const base::TimePoint after = base::monotonicNow();
    const pollfd *ready = fds.data() + 1;
    for (const auto &link : m_links) {
        const bool hasNew = ready->revents & POLLIN;
        ++ready;
        for (Connection &connection : link->connections) {
            connection.advance(ready, link->state, after);
            ready += 2;
        }
        if (hasNew)
            acceptOne(*link);
    }
    if (fds[0].revents & POLLIN)
        runActions();
    for (const auto &link : m_links)
        link->connections.remove_if([](const Connection &it) { return it.isOver(); });
}

void Forwarder::acceptOne(Link &link)
{
    const int client = ::accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
        return;
    if (link.state.refuses) {
        ++link.state.refused;
        abortSocket(client);
        return;
    }
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int target = openSocket();
    sockaddr_in name = socketAddress(link.address.target);
    const int result = ::connect(target, reinterpret_cast<sockaddr *>(&name), sizeof name);
    if (result != 0 && errno != EINPROGRESS) {
        abortSocket(client);
        ::close(target);
        return;
    }
    ++link.state.accepted;
    link.connections.emplace_back(client, target);
}

} // namespace hyssop::standins
