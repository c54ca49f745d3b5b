#include "Wakeup.h"

#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

namespace hyssop::peers {

Wakeup::Wakeup()
{
    int fds[2];
    if (::pipe2(fds, O_CLOEXEC | O_NONBLOCK) != 0)
        std::abort();
    m_readFd = fds[0];
    m_writeFd = fds[1];
}

Wakeup::~Wakeup()
{
    ::close(m_readFd);
    ::close(m_writeFd);
}

void Wakeup::post(std::function<void()> action)
{
    m_mailbox.post(std::move(action));
    // One byte in the pipe is enough until the loop has seen it.
    if (!m_isSignalled.exchange(true)) {
        [[maybe_unused]] const auto n = ::write(m_writeFd, "x", 1);
    }
}

kj::Promise<void> Wakeup::serve(kj::LowLevelAsyncIoProvider &provider)
{
    m_stream =
            provider.wrapInputFd(m_readFd, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK
                                                   | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
    return readOnce();
}

void Wakeup::close()
{
    m_stream = nullptr;
    m_mailbox.drain();
}

kj::Promise<void> Wakeup::readOnce()
{
    return m_stream->tryRead(m_buffer, 1, sizeof(m_buffer)).then([this](std::size_t) {
        m_isSignalled = false;
        for (const auto &action : m_mailbox.drain())
            action();
        return readOnce();
    });
}

} // namespace hyssop::peers
