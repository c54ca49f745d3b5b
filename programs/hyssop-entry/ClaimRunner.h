#pragma once

#include "caller/Caller.h"
#include "ClaimFlow.h"
#include "ControlClient.h"
#include "upstream/Upstream.h"

#include <functional>
#include <map>

namespace hyssop::entry {

/// A call that needs a claim before it goes out.
struct ClaimRequest
{
    base::RequestId id;
    http::ExchangeId exchange;
    base::TeamId team;
    std::string key;
    std::string digest; ///< Of service, method, path and body.
    base::TimePoint deadline;
    std::function<void()> dispatch; ///< Hands the call to the router.
};

/// Digest of what a claimed call asks for; another call under its key is a conflict.
std::string digestOf(const caller::ServiceCall &call);

/// Carries out what each ClaimFlow decides. Belongs to the loop's thread.
class ClaimRunner
{
public:
    ClaimRunner(http::Loop *loop, ControlClient *control, caller::Server *callers,
                platform::Metrics *metrics, ledger::Owner owner);

    void begin(ClaimRequest request);
    /// Each returns whether the request is a claimed one, whose caller is answered from here.
    bool onAnswered(const base::RequestId &id, const upstream::ServiceAnswer &answer);
    bool onEnded(const base::RequestId &id, const caller::ErrorBody &error);
    bool onCallerGone(http::ExchangeId exchange);

    /// Flows that still have a caller to answer or an outcome to record.
    std::size_t openFlows() const { return m_open.size(); }

private:
    struct Open
    {
        ClaimRequest request;
        ClaimFlow flow;
        std::optional<http::TimerId> timer;
        int unsettled = 0; ///< Commands on their way, claims included.
    };

    void perform(const base::RequestId &id, const ClaimActions &actions);
    void perform(const base::RequestId &id, Open &open, const SendClaim &action);
    void perform(const base::RequestId &id, Open &open, const SendRelease &action);
    void perform(const base::RequestId &id, Open &open, const SendFinish &action);
    void perform(const base::RequestId &id, Open &open, const WakeAt &action);
    void perform(const base::RequestId &id, Open &open, const Dispatch &action);
    void perform(const base::RequestId &id, Open &open, const AnswerCaller &action);
    void perform(const base::RequestId &id, Open &open, const FailCaller &action);
    void settle(const base::RequestId &id, const ledger::Command &command, int tries);
    void onSettled(const base::RequestId &id);
    void eraseIfDone(const base::RequestId &id);

    http::Loop *m_loop;
    ControlClient *m_control;
    caller::Server *m_callers;
    platform::Metrics *m_metrics;
    ledger::Owner m_owner;
    std::int64_t m_lastAttempt = 0;
    std::map<base::RequestId, Open> m_open;
    std::map<http::ExchangeId, base::RequestId> m_exchanges;
};

} // namespace hyssop::entry
