#pragma once

#include "ClaimStateMachine.h"
#include "ControlClient.h"
#include "OpenRequests.h"

#include <functional>
#include <map>

namespace hyssop::entry {

/// Digest of a call's contents. A call with the same key and another digest is a conflict.
std::string requestDigest(const caller::ServiceCall &call);

/// Carries out the actions of one ClaimStateMachine for each claimed call. Belongs to the loop's
/// thread.
class ClaimRunner
{
public:
    /// Submits a claimed request to the router.
    using Submit = std::function<void(OpenRequest)>;

    ClaimRunner(http::Loop *loop, ControlClient *controlClient, process::Metrics *metrics,
                ledger::Owner owner, Submit submit);

    /// Whether a request must be claimed in the log before it is dispatched.
    static bool needsClaim(const OpenRequest &request);
    /// Claims the request and dispatches it once the claim is accepted.
    void start(OpenRequest request);
    /// Returns true if the request is claimed; the router must not cancel it then.
    bool onCallerGone(const base::RequestId &id);

    /// Calls whose response is not sent yet or whose outcome is not recorded yet.
    std::size_t openClaimCount() const { return m_openClaims.size(); }

private:
    /// Receives the response to a claimed request from the router.
    class ClaimResponseSink;
    struct OpenClaim
    {
        std::optional<OpenRequest> request; ///< Set until it is dispatched.
        std::unique_ptr<ResponseSink> callerSink; ///< Where the response for the caller goes.
        ClaimStateMachine stateMachine;
        std::optional<http::TimerId> timer;
        int pendingOperations = 0; ///< Commands in flight, and actions being carried out.
    };

    void onAnswered(const base::RequestId &id, const upstream::ServiceResponse &answer);
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
