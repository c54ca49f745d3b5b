#pragma once

#include "ClaimStateMachine.h"
#include "ControlClient.h"
#include "OpenRequests.h"

#include <functional>
#include <map>

namespace hyssop::entry {

/// Digest of what a claimed call asks for; another call under its key is a conflict.
std::string requestDigest(const caller::ServiceCall &call);

/// Carries out what each ClaimFlow decides. Belongs to the loop's thread.
class ClaimRunner
{
public:
    /// Hands a claimed request to the router.
    using Submit = std::function<void(OpenRequest)>;

    ClaimRunner(http::Loop *loop, ControlClient *controlClient, process::Metrics *metrics,
                ledger::Owner owner, Submit submit);

    /// Whether a request may go out only once it is claimed in the log.
    static bool needsClaim(const OpenRequest &request);
    void start(OpenRequest request);
    /// Returns whether the request is a claimed one, which is not to be cancelled then.
    bool onCallerGone(const base::RequestId &id);

    /// Flows that still have a caller to answer or an outcome to record.
    std::size_t openClaimCount() const { return m_openClaims.size(); }

private:
    /// Takes the answer of a claimed request from the router.
    class ClaimResponseSink;
    struct OpenClaim
    {
        std::optional<OpenRequest> request; ///< Until it is dispatched.
        std::unique_ptr<ResponseSink> callerSink; ///< Until the caller was answered.
        ClaimStateMachine stateMachine;
        std::optional<http::TimerId> timer;
        int pendingOperations = 0; ///< Commands on their way, claims included.
    };

    void onAnswered(const base::RequestId &id, const upstream::ServiceAnswer &answer);
    void onFailed(const base::RequestId &id, const caller::ErrorBody &error);
    void perform(const base::RequestId &id, const ClaimActions &actions);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const SendClaim &action);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const SendRelease &action);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const SendOutcome &action);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const SetTimer &action);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const Dispatch &action);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const SendCallerAnswer &action);
    void perform(const base::RequestId &id, OpenClaim &openClaim, const SendCallerError &action);
    void sendUntilRecorded(const base::RequestId &id, const ledger::Command &command, int tries);
    void onSettled(const base::RequestId &id);
    void eraseIfDone(const base::RequestId &id);

    http::Loop *m_loop;
    ControlClient *m_controlClient;
    process::Metrics *m_metrics;
    ledger::Owner m_owner;
    Submit m_submit;
    std::int64_t m_lastAttemptNumber = 0;
    std::map<base::RequestId, OpenClaim> m_openClaims;
};

} // namespace hyssop::entry
