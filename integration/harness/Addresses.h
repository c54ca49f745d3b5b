#pragma once

#include "base/Base.h"

#include <set>

namespace hyssop::harness {

/// Hands out addresses on the loopback network: each from a block of this process, with a port
/// chosen by the kernel, so that tests side by side do not meet.
class Addresses
{
public:
    /// An address of its own for one host.
    std::string nextHost();
    /// A free port on \a host that was not handed out before.
    base::Endpoint nextEndpoint(const std::string &host);

private:
    int m_last = 0;
    std::set<base::Endpoint> m_handedOut;
};

} // namespace hyssop::harness
