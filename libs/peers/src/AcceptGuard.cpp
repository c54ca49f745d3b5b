#include "AcceptGuard.h"

#include <kj/async-io.h>

#include <utility>

namespace hyssop::peers {

namespace {

/// Delay after a failed accept, for example when file descriptors have run out.
constexpr auto kAcceptRetryDelay = 100 * kj::MILLISECONDS;
/// Least time between two log lines about closed connections.
constexpr base::Millis kLogInterval{1'000};

} // namespace

/// A connection that states to the guard which part of a message it awaits.
class GuardedStream final : public kj::AsyncIoStream
{
public:
    GuardedStream(AcceptGuard &guard, kj::Own<kj::AsyncIoStream> stream)
        : m_guard(guard)
        , m_stream(kj::mv(stream))
        , m_id(guard.m_account.add())
    {
        m_guard.m_streams[m_id] = this;
    }

    ~GuardedStream() noexcept(false) { leave(); }

    InboundAccount::Id id() const { return m_id; }

    void close()
    {
        // Its end follows later. Until then it must not be chosen again instead of another one.
        leave();
        m_canceler.cancel(KJ_EXCEPTION(DISCONNECTED, "closed in favour of other connections"));
        m_stream->abortRead();
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes,
                                     std::size_t maxBytes) override
    {
        if (m_isClosed)
            return std::size_t(0);
        m_guard.m_account.begin(m_id, minBytes);
        m_guard.closeVictims(m_id);
        if (m_isClosed)
            return std::size_t(0);
        return m_canceler.wrap(
                m_stream->tryRead(buffer, minBytes, maxBytes).then([this](std::size_t n) {
                    m_guard.m_account.finish(m_id);
                    return n;
                }));
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        return m_stream->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return m_stream->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override { return m_stream->whenWriteDisconnected(); }
    void shutdownWrite() override { m_stream->shutdownWrite(); }
    void abortRead() override { m_stream->abortRead(); }
    void getsockopt(int level, int option, void *value, kj::uint *length) override
    {
        m_stream->getsockopt(level, option, value, length);
    }
    void setsockopt(int level, int option, const void *value, kj::uint length) override
    {
        m_stream->setsockopt(level, option, value, length);
    }

private:
    void leave()
    {
        if (std::exchange(m_isClosed, true))
            return;
        m_guard.m_streams.erase(m_id);
        m_guard.m_account.remove(m_id);
    }

    AcceptGuard &m_guard;
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Canceler m_canceler;
    InboundAccount::Id m_id;
    bool m_isClosed = false;
};

kj::Promise<void> AcceptGuard::listen(kj::ConnectionReceiver &receiver,
                                      capnp::TwoPartyServer &server)
{
    return receiver.accept()
            .then(
                    [this, &server](kj::Own<kj::AsyncIoStream> &&stream) -> kj::Promise<void> {
                        auto guarded = kj::heap<GuardedStream>(*this, kj::mv(stream));
                        const InboundAccount::Id id = guarded->id();
                        server.accept(kj::mv(guarded));
                        closeVictims(id);
                        return kj::READY_NOW;
                    },
                    [this](kj::Exception &&e) -> kj::Promise<void> {
                        base::logEvent("accept_failed", {{"message", e.getDescription().cStr()}});
                        return m_timer.afterDelay(kAcceptRetryDelay);
                    })
            .then([this, &receiver, &server] { return listen(receiver, server); });
}

void AcceptGuard::closeVictims(InboundAccount::Id newest)
{
    for (const InboundAccount::Id id : m_account.victims(newest)) {
        const auto it = m_streams.find(id);
        if (it == m_streams.end())
            continue;
        it->second->close();
        ++m_unloggedCloses;
        const base::TimePoint now = base::monotonicNow();
        if (now - m_lastLogAt < kLogInterval)
            continue;
        m_lastLogAt = now;
        base::logEvent("peers_shed", {{"count", std::exchange(m_unloggedCloses, 0)},
                                      {"connections", m_streams.size()}});
    }
}

} // namespace hyssop::peers
