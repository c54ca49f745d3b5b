#pragma once

#include "Client.h"

namespace hyssop::soak {

/// Reads one path again and again without blocking; one read at a time.
class Poll
{
public:
    Poll(harness::Client *client, base::Endpoint to, std::string path, base::Millis interval,
         http::Headers headers = {});

    struct Reading
    {
        harness::Answer answer;
        base::TimePoint asked; ///< What is read is not older than this.
    };
    /// A read that has ended since the last call, if any; starts the next one when it is due.
    std::optional<Reading> tick(base::TimePoint now);

private:
    harness::Client *m_client;
    http::Call m_call;
    base::Millis m_interval;
    std::optional<harness::Pending> m_pending;
    base::TimePoint m_asked{};
};

} // namespace hyssop::soak
