#pragma once

#include "base/Base.h"

#include <string>

namespace hyssop::harness {

/// A TCP connection for callers that break the rules of HTTP. Reads wait 20 s at most.
class RawConnection
{
public:
    explicit RawConnection(const base::Endpoint &to);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(const std::string &bytes);
    /// Everything until the peer closes or the wait ends.
    std::string receiveAll();

private:
    int m_fd;
};

} // namespace hyssop::harness
