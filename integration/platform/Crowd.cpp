#include "Crowd.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::harness {

namespace {

/// A peer that takes nothing for this long has read as much as it wants.
constexpr base::Millis kStallLimit{1'500};
constexpr base::Millis kPause{20};
/// A small buffer, so that responses stay with the peer.
constexpr int kReceiveBufferBytes = 4'096;

int connectTo(const base::Endpoint &to)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    const timeval limit{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &name.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0)
        return fd;
    ::close(fd);
    return -1;
}

} // namespace

Crowd::Crowd(const base::Endpoint &to, std::size_t size)
    : m_members(size)
{
    for (Member &it : m_members)
        it.fd = connectTo(to);
}

Crowd::~Crowd()
{
    for (const Member &it : m_members)
        ::close(it.fd);
}

bool Crowd::sendSome(const Traffic &traffic)
{
    // A part at a time, so that all members are at about the same point.
    constexpr std::size_t kPartBytes = std::size_t(64) << 10;
    bool hasSent = false;
    for (Member &it : m_members) {
        if (it.fd < 0)
            continue;
        const bool isDrip = it.sent >= traffic.bytes.size();
        if (isDrip && traffic.drip.empty())
            continue;
        const char *from = isDrip ? traffic.drip.data() : traffic.bytes.data() + it.sent;
        const std::size_t size = isDrip ? 1 : std::min(kPartBytes, traffic.bytes.size() - it.sent);
        const ssize_t n = ::send(it.fd, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            it.sent += static_cast<std::size_t>(n);
            hasSent = hasSent || !isDrip;
        } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
            ::close(it.fd);
            it.fd = -1;
        }
    }
    return hasSent;
}

bool Crowd::isDone(const Traffic &traffic) const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const Member &it) {
        return it.fd < 0 || it.sent >= traffic.bytes.size();
    });
}

void Crowd::send(const Traffic &traffic, base::Millis limit)
{
    const base::TimePoint until = base::monotonicNow() + limit;
    base::TimePoint progressAt = base::monotonicNow();
    for (;;) {
        const bool hasSent = sendSome(traffic);
        const base::TimePoint now = base::monotonicNow();
        if (hasSent)
            progressAt = now;
        const bool isOver = traffic.drip.empty() && isDone(traffic);
        if (isOver || now >= until || now - progressAt >= kStallLimit)
            return;
        if (!hasSent)
            std::this_thread::sleep_for(kPause);
    }
}

base::Bytes peakMemory(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            return base::Bytes(std::stoll(line.substr(line.find(':') + 1)) * 1'024);
    return base::Bytes(0);
}

std::size_t openDescriptors(pid_t id)
{
    std::error_code ec;
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(id) + "/fd", ec);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

} // namespace hyssop::harness
