#pragma once

#include "base/Base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace hyssop::harness {

/// What becomes of the connections of a process to upstreams.
enum class Uplinks {
    Open,
    Reset, ///< All are reset, new ones too.
    Silent, ///< All stay open, and nothing passes any more. New ones are accepted.
    NoNew, ///< Those that exist go on, new ones are reset.
};

/// Forwards connections to upstreams, each process' by a rule of its own. Tells the processes that
/// connect to it apart by the owner of the peer's socket.
class UplinkGate
{
public:
    UplinkGate();
    ~UplinkGate();
    UplinkGate(const UplinkGate &) = delete;
    UplinkGate &operator=(const UplinkGate &) = delete;

    /// Forwards what connects to \a listen. Call before any process connects.
    void forward(const base::Endpoint &listen, const base::Endpoint &target);
    /// Sets the rule of a process for all upstreams, from now on.
    void set(pid_t process, Uplinks uplinks);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::harness
