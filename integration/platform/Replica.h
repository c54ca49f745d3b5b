#pragma once

#include "gateway/Gateway.h"
#include "RateLimits.h"

#include <boost/asio/executor_work_guard.hpp>

#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace hyssop::harness {

/// A request that a replica began to work on.
struct Run
{
    std::string request;
    std::string replica;
    std::string team;
    base::TimePoint at;
    bool isBrokenOff = false; ///< The replica lost the answer or closed in its midst.
};

/// How a replica misbehaves, in percent of the requests.
struct ReplicaFaults
{
    int refuse = 0; ///< Says that it did not run them.
    int lose = 0; ///< Runs them and closes the connection without an answer.
    int breakOff = 0; ///< Closes the connection in the middle of a stream.
};

/// What makes a replica crash.
struct CrashTriggers
{
    std::set<std::string> parts; ///< Ids of parts of prompts, as it begins to write an answer.
    /// Requests without token counts, by "TENANT TARGET BODY", as it begins to run them.
    std::set<std::string> requests;
};

/// A stand-in for a replica of the users' platform, on a thread of its own.
///
/// A request with token counts is answered by a stream of as many events as it asks for output
/// tokens, others by "ID BODY". Memory is reserved as asked, for the time asked.
class Replica final : public gateway::CallerHandler
{
public:
    Replica(std::string id, const base::Endpoint &listen, ReplicaFaults faults = {},
            std::uint64_t seed = 1);
    ~Replica() override;

    const std::string &id() const { return m_id; }
    std::vector<gateway::RequestHead> seen() const;
    std::vector<Run> runs() const;
    /// States \a perSecond as its request rate limit in all answers from now on, or none.
    void limitRequests(std::optional<double> perSecond);
    /// Says in all answers from now on that it leaves.
    void sayLeaving();
    /// From now on turns all requests away and asks for none for \a duration, or serves again.
    void turnAway(std::optional<base::Millis> duration);
    /// Sends nothing for \a duration from now on, and then goes on as if nothing had been.
    void fallSilent(base::Millis duration);
    /// From now on answers requests to resume a stream with \a status, or resumes again.
    void answerResumes(std::optional<int> status);
    /// Crashes on such requests from now on.
    void crashOn(CrashTriggers triggers);
    /// Id of the request that crashed it; empty while it runs. The owner then destroys it, which
    /// ends its connections.
    std::string crashedBy() const;
    /// Requests and limits since its start. Orders are among them, by the id of their reservation.
    ReplicaTraffic traffic() const;
    /// Reservations that were neither released nor have ended.
    std::size_t reservations(base::TimePoint now) const;

private:
    struct Stream;

    void onRequest(const std::shared_ptr<gateway::Exchange> &exchange) override;
    void onCallerDisconnected(gateway::Exchange &exchange) override;
    void onDrained(gateway::Exchange &) override { }
    void onRejected(int, std::string_view) override { }
    void order(gateway::Exchange &exchange);
    bool hasDeadlyPart(const gateway::Exchange &exchange) const;
    bool isDeadly(const gateway::Exchange &exchange) const;
    /// Begins to answer a request and crashes.
    void crashOnStream(const std::shared_ptr<gateway::Exchange> &exchange);
    /// Begins to run a request and crashes.
    void crashOnRequest(const std::shared_ptr<gateway::Exchange> &exchange);
    void crash(const std::string &request);
    /// Adds what all answers state, and notes that this one did.
    gateway::Fields withLimit(gateway::Fields fields, const std::string &request);
    std::optional<base::Millis> turnsAwayFor() const;
    std::optional<int> statusOfResumes() const;
    void startStream(const std::shared_ptr<gateway::Exchange> &exchange);
    void writeEvent(const std::shared_ptr<Stream> &stream);
    bool draws(int percent);
    /// Notes that it breaks off the answer of its last run of a request.
    void noteBreak(const std::string &request);

    const std::string m_id;
    const ReplicaFaults m_faults;
    base::Rng m_rng;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    /// Requests that crash it. Their connections end with it.
    std::vector<std::shared_ptr<gateway::Exchange>> m_unanswered;
    gateway::Server m_server;
    mutable std::mutex m_mutex;
    std::vector<gateway::RequestHead> m_seen;
    std::vector<Run> m_runs;
    ReplicaTraffic m_traffic;
    bool m_saysLeaving = false;
    std::optional<base::Millis> m_turnsAwayFor;
    std::optional<int> m_statusOfResumes;
    CrashTriggers m_crashTriggers;
    std::string m_crashedBy;
    std::map<std::string, base::TimePoint> m_reservations; ///< End of each.
    std::map<gateway::Exchange *, std::shared_ptr<Stream>> m_streams;
    std::thread m_thread;
};

} // namespace hyssop::harness
