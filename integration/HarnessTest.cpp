#include "Addresses.h"

#include <catch2/catch.hpp>

#include <set>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hyssop;

namespace {

constexpr int kManyPorts = 800;

/// What a program does to listen; false if the port is not to be had.
bool canListen(const base::Endpoint &endpoint)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &name.sin_addr);
    const bool isBound = ::bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0;
    const bool listens = isBound && ::listen(fd, 1) == 0;
    ::close(fd);
    return listens;
}

} // namespace

TEST_CASE("the harness gives no port of an address twice")
{
    harness::Addresses addresses;
    const std::string host = addresses.nextHost();
    std::set<int> ports;
    for (int i = 0; i < kManyPorts; ++i)
        ports.insert(addresses.nextEndpoint(host).port);
    CHECK(ports.size() == kManyPorts);
}

TEST_CASE("a program listens on a reserved port and again after a restart")
{
    harness::Addresses addresses;
    const base::Endpoint endpoint = addresses.nextEndpoint(addresses.nextHost());
    CHECK(canListen(endpoint));
    CHECK(canListen(endpoint));
}
