#include "RawConnection.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::harness {

namespace {

constexpr int kReceiveLimitSeconds = 20;

} // namespace

RawConnection::RawConnection(const base::Endpoint &to)
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const timeval limit{kReceiveLimitSeconds, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &name.sin_addr);
    // A failed connection shows as an empty answer.
    (void)::connect(m_fd, reinterpret_cast<sockaddr *>(&name), sizeof name);
}

RawConnection::~RawConnection()
{
    ::close(m_fd);
}

void RawConnection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return; // The peer has closed; what it answered can still be read.
        sent += static_cast<std::size_t>(n);
    }
}

std::string RawConnection::receiveAll()
{
    std::string all;
    std::array<char, 4096> buf;
    for (;;) {
        const ssize_t n = ::recv(m_fd, buf.data(), buf.size(), 0);
        if (n <= 0)
            return all;
        all.append(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace hyssop::harness
