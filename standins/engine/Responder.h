#pragma once

#include "http/Http.h"

namespace hyssop::standins {

/// Answers requests and counts the refusals among the answers.
class Responder
{
public:
    /// \a logsWork: a log line for each refusal.
    Responder(http::Loop *loop, bool logsWork)
        : m_loop(loop)
        , m_logsWork(logsWork)
    { }

    void respond(http::ExchangeId id, int status, std::string body);
    /// Answers that nothing was run.
    void refuse(http::ExchangeId id, int status, const std::string &code);
    std::int64_t refused() const { return m_refused; }

private:
    http::Loop *m_loop;
    bool m_logsWork;
    std::int64_t m_refused = 0;
};

} // namespace hyssop::standins
