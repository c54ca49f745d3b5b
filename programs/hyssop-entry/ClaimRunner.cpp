#include "ClaimRunner.h"

#include <cassert>

namespace hyssop::entry {

namespace {

/// Wait before a release or an outcome that was not recorded is sent again.
constexpr base::Millis kRecordRetryDelay{1'000};
/// An unreachable group fails at once, so this retries for ten minutes.
constexpr int kMaxRecordTries = 600;

} // namespace

std::string requestDigest(const caller::ServiceCall &call)
{
    const std::string head = call.service + '\n' + std::string(http::methodName(call.method)) + '\n'
                             + call.path + '\n';
    return base::sha256Hex(head + call.body);
}

class ClaimRunner::ClaimResponseSink final : public ResponseSink
{
public:
    ClaimResponseSink(ClaimRunner *runner, base::RequestId id)
        : m_runner(runner)
        , m_id(std::move(id))
    { }

    void addTokens(const std::vector<std::string> &) override { }
    void complete() override { }
    void respond(const upstream::ServiceResponse &answer) override
    {
        m_runner->onAnswered(m_id, answer);
    }
    void fail(const caller::ErrorBody &error) override { m_runner->onFailed(m_id, error); }

private:
    ClaimRunner *m_runner;
    base::RequestId m_id;
};

ClaimRunner::ClaimRunner(http::Loop *loop, ControlClient *controlClient, process::Metrics *metrics,
                         ledger::Owner owner, Submit submit)
    : m_loop(loop)
    , m_controlClient(controlClient)
    , m_metrics(metrics)
    , m_owner(std::move(owner))
    , m_submit(std::move(submit))
{ }

bool ClaimRunner::needsClaim(const OpenRequest &request)
{
    return request.service && !request.info.isRetrySafe
           && !request.service->head.idempotencyKey.empty();
}

void ClaimRunner::start(OpenRequest request)
{
    assert(needsClaim(request) && "only non-repeatable calls with a key are claimed");
    const base::TimePoint now = base::monotonicNow();
    const base::RequestId id = request.info.id;
    ledger::Claim claim{request.info.team, request.service->head.idempotencyKey,
                        requestDigest(*request.service), m_owner,
                        std::to_string(++m_lastAttemptNumber)};
    ClaimStateMachine stateMachine({std::move(claim), request.info.deadline});
    OpenClaim openClaim{std::nullopt, std::move(request.responseSink), std::move(stateMachine),
                        std::nullopt, 0};
    request.responseSink = std::make_unique<ClaimResponseSink>(this, id);
    request.info.hasIdempotencyClaim = true;
    openClaim.request = std::move(request);
    const auto [it, isNew] = m_openClaims.emplace(id, std::move(openClaim));
    assert(isNew && "a request is claimed once");
    perform(id, it->second.stateMachine.start(now));
}

void ClaimRunner::onAnswered(const base::RequestId &id, const upstream::ServiceResponse &answer)
{
    perform(id, m_openClaims.at(id).stateMachine.onAnswered(
                        {answer.status, answer.contentType, answer.body}, base::monotonicNow()));
}

void ClaimRunner::onFailed(const base::RequestId &id, const caller::ErrorBody &error)
{
    perform(id, m_openClaims.at(id).stateMachine.onFailed(error, base::monotonicNow()));
}

bool ClaimRunner::onCallerGone(const base::RequestId &id)
{
    const auto it = m_openClaims.find(id);
    if (it == m_openClaims.end())
        return false;
    perform(id, it->second.stateMachine.onCallerGone(base::monotonicNow()));
    return true;
}

void ClaimRunner::perform(const base::RequestId &id, const ClaimActions &actions)
{
    // An action may re-enter and end the state machine, such as a dispatch that the router refuses.
    for (const ClaimAction &action : actions) {
        const auto it = m_openClaims.find(id);
        assert(it != m_openClaims.end() && "a claim with actions is in m_openClaims");
        ++it->second.pendingOperations;
        std::visit([this, &id, &openClaim = it->second](
                           const auto &concrete) { perform(id, openClaim, concrete); },
                   action);
        --m_openClaims.at(id).pendingOperations;
    }
    eraseIfDone(id);
}

void ClaimRunner::perform(const base::RequestId &id, OpenClaim &openClaim, const SendClaim &action)
{
    const ledger::Claim claim = openClaim.stateMachine.claim();
    ++openClaim.pendingOperations;
    m_controlClient->execute(
            groupForKey(claim.key), claim,
            [this, id](const tl::expected<ledger::Reply, ExecuteFailure> &reply) {
                const std::string result(reply ? statusName(reply->status)
                                               : executeFailureName(reply.error()));
                m_metrics->count("hyssop_claims_total", {{"result", result}});
                OpenClaim &openClaim = m_openClaims.at(id);
                --openClaim.pendingOperations;
                perform(id, openClaim.stateMachine.onClaimReply(reply, base::monotonicNow()));
            },
            action.timeout);
}

void ClaimRunner::perform(const base::RequestId &id, OpenClaim &openClaim, const SendRelease &)
{
    const ledger::Claim &claim = openClaim.stateMachine.claim();
    ++openClaim.pendingOperations;
    sendUntilRecorded(id, ledger::ReleaseClaim{claim.team, claim.key, claim.owner, claim.attemptId},
                      0);
}

void ClaimRunner::perform(const base::RequestId &id, OpenClaim &openClaim,
                          const SendOutcome &action)
{
    const ledger::Claim &claim = openClaim.stateMachine.claim();
    ++openClaim.pendingOperations;
    sendUntilRecorded(
            id,
            ledger::FinishClaim{claim.team, claim.key, claim.owner, action.answer, claim.attemptId},
            0);
}

void ClaimRunner::sendUntilRecorded(const base::RequestId &id, const ledger::Command &command,
                                    int tries)
{
    const std::string group = groupForKey(m_openClaims.at(id).stateMachine.claim().key);
    m_controlClient->execute(
            group, command,
            [this, id, command, tries](const tl::expected<ledger::Reply, ExecuteFailure> &reply) {
                if (reply)
                    return onSettled(id);
                m_metrics->count("hyssop_claim_settle_retries_total",
                                 {{"reason", std::string(executeFailureName(reply.error()))}});
                if (tries + 1 < kMaxRecordTries) {
                    m_loop->after(kRecordRetryDelay, [this, id, command, tries] {
                        sendUntilRecorded(id, command, tries + 1);
                    });
                    return;
                }
                // The claim stays held, so the call is never dispatched again.
                m_metrics->count("hyssop_claims_unsettled_total");
                base::logEvent("claim_unsettled",
                               {{"team", m_openClaims.at(id).stateMachine.claim().team}});
                onSettled(id);
            });
}

void ClaimRunner::onSettled(const base::RequestId &id)
{
    OpenClaim &openClaim = m_openClaims.at(id);
    --openClaim.pendingOperations;
    perform(id, openClaim.stateMachine.onSettled(base::monotonicNow()));
}

void ClaimRunner::perform(const base::RequestId &id, OpenClaim &openClaim, const SetTimer &action)
{
    if (openClaim.timer)
        m_loop->cancelTimer(*openClaim.timer);
    const auto delay = std::chrono::ceil<base::Millis>(action.at - base::monotonicNow());
    openClaim.timer = m_loop->after(std::max(delay, base::Millis(0)), [this, id] {
        OpenClaim &openClaim = m_openClaims.at(id);
        openClaim.timer.reset();
        perform(id, openClaim.stateMachine.onTimer(base::monotonicNow()));
    });
}

void ClaimRunner::perform(const base::RequestId &, OpenClaim &openClaim, const Dispatch &)
{
    OpenRequest request = *std::move(openClaim.request);
    openClaim.request.reset();
    m_submit(std::move(request));
}

void ClaimRunner::perform(const base::RequestId &, OpenClaim &openClaim,
                          const SendCallerAnswer &action)
{
    const ledger::Answer &answer = action.answer;
    if (!openClaim.stateMachine.hasDispatched())
        m_metrics->count("hyssop_answers_repeated_total");
    openClaim.callerSink->respond({answer.status, answer.contentType, answer.body});
}

void ClaimRunner::perform(const base::RequestId &, OpenClaim &openClaim,
                          const SendCallerError &action)
{
    // Failures after the dispatch are counted by the router driver.
    if (!openClaim.stateMachine.hasDispatched())
        m_metrics->count("hyssop_refusals_total", {{"reason", action.error.code}});
    openClaim.callerSink->fail(action.error);
}

void ClaimRunner::eraseIfDone(const base::RequestId &id)
{
    const auto it = m_openClaims.find(id);
    if (it == m_openClaims.end() || !it->second.stateMachine.hasEnded()
        || it->second.pendingOperations > 0)
        return;
    if (it->second.timer)
        m_loop->cancelTimer(*it->second.timer);
    m_openClaims.erase(it);
}

} // namespace hyssop::entry
