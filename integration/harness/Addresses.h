#pragma once

#include "base/Base.h"

namespace hyssop::harness {

/// Hands out addresses on the loopback network: each from a block of this process, with a port
/// chosen by the kernel, so that tests side by side do not meet.
///
/// Every port stays reserved for as long as this object lives, also while no program listens on it.
class Addresses
{
public:
    Addresses() = default;
    ~Addresses();
    Addresses(const Addresses &) = delete;
    Addresses &operator=(const Addresses &) = delete;

    /// An address of its own for one host.
    std::string nextHost();
    /// A port on \a host that no earlier call gave and nothing else uses; a program that listens
    /// with SO_REUSEADDR may take it.
    base::Endpoint nextEndpoint(const std::string &host);

private:
    int m_last = 0;
    std::vector<int> m_reserved; ///< Bound sockets that never listen.
};

} // namespace hyssop::harness
