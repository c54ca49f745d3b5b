#pragma once

#include "base/Base.h"

#include <kj/async-io.h>

#include <atomic>
#include <functional>

namespace hyssop::peers {

/// Hands actions from any thread to a kj event loop, through a pipe that the loop reads.
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    /// Thread-safe.
    void post(std::function<void()> action);
    /// Runs posted actions for as long as the promise is kept. On the loop's thread.
    kj::Promise<void> serve(kj::LowLevelAsyncIoProvider &provider);
    /// Drops what belongs to the loop, before the loop ends. On the loop's thread.
    void close();

private:
    kj::Promise<void> readOnce();

    base::Mailbox<std::function<void()>> m_mailbox;
    std::atomic<bool> m_isSignalled = false;
    int m_readFd = -1;
    int m_writeFd = -1;
    kj::Own<kj::AsyncInputStream> m_stream;
    kj::byte m_buffer[64];
};

} // namespace hyssop::peers
