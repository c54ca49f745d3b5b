#include "Connection.h"

#include <algorithm>

#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::standins {

namespace {

pollfd interest(int fd, const Pipe &reader, const Pipe &writer, base::TimePoint now)
{
    pollfd one{fd, 0, 0};
    if (reader.wantsRead())
        one.events |= POLLIN;
    if (writer.wantsWrite(now))
        one.events |= POLLOUT;
    // A socket that nothing is wanted of would report its end again and again.
    if (one.events == 0)
        one.fd = -1;
    return one;
}

} // namespace

Connection::Connection(int client, int target)
    : m_client(client)
    , m_target(target)
    , m_forward(client, target)
    , m_backward(target, client)
{ }

Connection::~Connection()
{
    ::close(m_client);
    ::close(m_target);
}

void Connection::addInterest(std::vector<pollfd> &fds, base::TimePoint now,
                             base::TimePoint &wake) const
{
    if (m_isStranded) {
        fds.push_back({-1, 0, 0});
        fds.push_back({-1, 0, 0});
        return;
    }
    fds.push_back(interest(m_client, m_forward, m_backward, now));
    fds.push_back(interest(m_target, m_backward, m_forward, now));
    for (const Pipe *pipe : {&m_forward, &m_backward}) {
        if (pipe->nextWrite() > now)
            wake = std::min(wake, pipe->nextWrite());
    }
}

void Connection::advance(const pollfd *ready, LinkState &state, base::TimePoint now)
{
    constexpr short kReadable = POLLIN | POLLHUP | POLLERR;
    constexpr short kWritable = POLLOUT | POLLHUP | POLLERR;
    if ((ready[0].revents & kReadable) && m_forward.wantsRead())
        onResult(m_forward.read(state.forward, state.forwardCounts, now), state);
    if ((ready[1].revents & kReadable) && m_backward.wantsRead())
        onResult(m_backward.read(state.backward, state.backwardCounts, now), state);
    if ((ready[1].revents & kWritable) && m_forward.wantsWrite(now))
        onResult(m_forward.write(state.forward, state.forwardCounts, now), state);
    if ((ready[0].revents & kWritable) && m_backward.wantsWrite(now))
        onResult(m_backward.write(state.backward, state.backwardCounts, now), state);
}

void Connection::onResult(Pipe::Result result, const LinkState &state)
{
    if (result == Pipe::Result::Fine)
        return;
    if (state.dropsAny())
        m_isStranded = true;
    else
        reset();
}

void Connection::halfClose(Direction direction)
{
    (direction == Direction::Forward ? m_forward : m_backward).halfClose();
}

void Connection::reset()
{
    const linger abort{1, 0};
    ::setsockopt(m_client, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::setsockopt(m_target, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    m_isBroken = true;
}

bool Connection::isOver() const
{
    return m_isBroken || (m_forward.isEnded() && m_backward.isEnded());
}

} // namespace hyssop::standins
