#include "Addresses.h"

#include <cassert>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::harness {

namespace {

/// Third numbers of the addresses: 127.0.80.* to 127.0.119.*.
constexpr int kFirstBlock = 80;
constexpr int kBlocks = 40;
constexpr int kHostsPerBlock = 250;

} // namespace

Addresses::~Addresses()
{
    for (const int fd : m_reserved)
        ::close(fd);
}

std::string Addresses::nextHost()
{
    const int block = kFirstBlock + static_cast<int>(::getpid()) % kBlocks;
    const int host = 1 + m_last++ % kHostsPerBlock;
    return "127.0." + std::to_string(block) + "." + std::to_string(host);
}

base::Endpoint Addresses::nextEndpoint(const std::string &host)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    ::inet_pton(AF_INET, host.c_str(), &name.sin_addr);
    const int bound = ::bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name);
    assert(bound == 0 && "the caller asks for more ports than the address has");
    socklen_t size = sizeof name;
    if (bound == 0)
        ::getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size);
    // Only after the choice of the port: it is to be free, and then open to one that listens.
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    m_reserved.push_back(fd);
    return {host, ntohs(name.sin_port)};
}

} // namespace hyssop::harness
