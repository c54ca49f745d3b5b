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

/// A port that is free now.
base::Endpoint freeEndpoint(const std::string &host)
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
    ::close(fd);
    return {host, ntohs(name.sin_port)};
}

} // namespace

std::string Addresses::nextHost()
{
    const int block = kFirstBlock + static_cast<int>(::getpid()) % kBlocks;
    const int host = 1 + m_last++ % kHostsPerBlock;
    return "127.0." + std::to_string(block) + "." + std::to_string(host);
}

base::Endpoint Addresses::nextEndpoint(const std::string &host)
{
    // The port is free until its process binds it, so the kernel may choose it twice.
    for (;;) {
        base::Endpoint endpoint = freeEndpoint(host);
        if (m_handedOut.insert(endpoint).second)
            return endpoint;
    }
}

} // namespace hyssop::harness
