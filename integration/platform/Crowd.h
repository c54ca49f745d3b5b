#pragma once

#include "base/Base.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace hyssop::harness {

/// What each client of a crowd sends. None of them reads anything.
struct Traffic
{
    std::string bytes; ///< Sent as fast as the peer takes them; the connection stays open then.
    std::string drip = {}; ///< Sent one byte at a time after that, again and again.
    base::Millis hold{500}; ///< The connections stay open for this long afterwards.
};

/// Clients that keep none of the rules, on connections of their own. Connects at its creation, all
/// connections end with it.
class Crowd
{
public:
    Crowd(const base::Endpoint &to, std::size_t size);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends until all is sent, the peer takes nothing for some time, or \a limit passes.
    void send(const Traffic &traffic, base::Millis limit);

private:
    struct Member
    {
        int fd = -1;
        std::size_t sent = 0;
    };

    /// Whether any byte was sent.
    bool sendSome(const Traffic &traffic);
    bool isDone(const Traffic &traffic) const;

    std::vector<Member> m_members;
};

/// Highest memory of a process in its machine so far.
base::Bytes peakMemory(pid_t id);
std::size_t openDescriptors(pid_t id);

} // namespace hyssop::harness
