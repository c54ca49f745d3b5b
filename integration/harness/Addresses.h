#pragma once

#include "base/Base.h"

namespace hyssop::harness {

/// Hands out addresses on the loopback network: each from a block of this process, with a port
/// chosen by the kernel, so that tests side by side do not meet.
class Addresses
{
public:
    /// An address of its own for one host.
    std::string nextHost();
    /// A free port on \a host.
    static base::Endpoint nextEndpoint(const std::string &host);

private:
    int m_last = 0;
};

} // namespace hyssop::harness
