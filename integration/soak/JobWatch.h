#pragma once

#include "Calls.h"
#include "Poll.h"
#include "Scorecard.h"

#include <list>

namespace hyssop::soak {

/// Follows accepted jobs until they have ended, and checks how.
class JobWatch
{
public:
    JobWatch(harness::System *system, harness::Scorecard *scorecard);

    void add(const std::string &id, const harness::Host &entry,
             const harness::Completion &completion);
    void tick(base::TimePoint now);
    std::size_t open() const { return m_jobs.size(); }
    std::int64_t done() const { return m_done; }
    std::int64_t failed() const { return m_failed; }
    /// Counts the jobs that have not ended as broken. Called when everything has been whole again
    /// for longer than any job's deadline.
    void giveUp();

private:
    struct Job
    {
        std::string id;
        harness::Completion completion;
        std::vector<Poll> polls; ///< One for each entry host of its data centre.
        std::string lastSeen; ///< Last answer about it.
    };
    /// Whether the job has ended.
    bool read(Job &job, const harness::Answer &answer);

    harness::System *m_system;
    harness::Scorecard *m_scorecard;
    std::list<Job> m_jobs;
    std::int64_t m_done = 0;
    std::int64_t m_failed = 0;
};

} // namespace hyssop::soak
