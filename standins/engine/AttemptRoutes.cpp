#include "AttemptRoutes.h"

#include "JsonFields.h"
#include "Owners.h"
#include "upstream/Upstream.h"

namespace hyssop::standins {

namespace {

constexpr std::string_view kAttempts = "/v1/attempts";
constexpr std::string_view kResume = "/resume";
constexpr std::size_t kDigestLetters = 8;

using nlohmann::json;

} // namespace

AttemptRoutes::AttemptRoutes(Responder *responder, EngineModel *model, AttemptStreams *streams,
                             FaultPlan *faults, const OrderRoutes *orders, bool logsWork,
                             Hooks hooks)
    : m_responder(responder)
    , m_model(model)
    , m_streams(streams)
    , m_faults(faults)
    , m_orders(orders)
    , m_logsWork(logsWork)
    , m_hooks(std::move(hooks))
{ }

void AttemptRoutes::serve(http::ExchangeId id, const http::Request &request)
{
    std::string attempt = restOf(request.path, kAttempts);
    if (request.method == http::Method::Get && attempt.empty()) {
        list(id, ownerOf(request));
    } else if (request.method == http::Method::Delete && !attempt.empty()) {
        cancel(id, attempt);
    } else if (request.method == http::Method::Post && attempt.ends_with(kResume)) {
        attempt.resize(attempt.size() - kResume.size());
        resume(id, attempt, request);
    } else {
        m_responder->refuse(id, 404, "unknown_path");
    }
}

std::optional<std::pair<int, std::string>> AttemptRoutes::refusal(const std::string &attempt,
                                                                  const json &body,
                                                                  const AttemptFaults &faults) const
{
    if (m_isLeaving)
        return std::pair(503, "leaving");
    if (faults.isRefused)
        return std::pair(503, "busy");
    if (m_streams->wasCancelled(attempt))
        return std::pair(410, "cancelled");
    const std::string model = textOf(body, "model");
    if (!model.empty() && model != m_orders->loaded().model)
        return std::pair(404, "model_not_loaded");
    return std::nullopt;
}

void AttemptRoutes::complete(http::ExchangeId id, const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object() || !body->contains("prompt")) {
        m_responder->refuse(id, 400, "bad_request");
        return;
    }
    const std::string attempt(request.header("x-attempt-id"));
    if (m_streams->knows(attempt)) {
        m_responder->respond(id, 409, errorBody("duplicate_attempt", "failed"));
        return;
    }
    const AttemptFaults faults = m_faults->drawAttempt();
    if (const auto reason = refusal(attempt, *body, faults)) {
        m_responder->refuse(id, reason->first, reason->second);
        return;
    }
    const std::string prompt = textOf(*body, "prompt");
    Sequence sequence;
    sequence.attempt = attempt;
    sequence.owner = request.header("x-owner");
    sequence.priority = std::atoi(std::string(request.header("x-priority")).c_str());
    sequence.promptTokens = std::max<std::int64_t>(1, upstream::estimateTokens(prompt).count());
    sequence.maxTokens = std::max<std::int64_t>(1, numberOf(*body, "max_tokens", 16));
    sequence.isGang = !request.header("x-gang").empty();
    sequence.blocks = upstream::prefixHashes(prompt);
    if (!m_model->add(std::move(sequence))) {
        m_responder->refuse(id, 413, "too_large");
        return;
    }
    ++m_started;
    const std::string digest = base::sha256Hex(prompt);
    if (m_logsWork)
        base::logEvent("work_started", {{"work", digest}});
    m_streams->start(attempt, digest.substr(0, kDigestLetters), faults, id);
    m_hooks.onStarted();
}

void AttemptRoutes::resume(http::ExchangeId id, const std::string &attempt,
                           const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    const std::int64_t offset = body && body->is_object() ? numberOf(*body, "offset", -1) : -1;
    switch (m_streams->resume(attempt, offset, id)) {
    case AttemptStreams::Resumed::Yes:
        break;
    case AttemptStreams::Resumed::Unknown:
        m_responder->refuse(id, 404, "unknown_attempt");
        break;
    case AttemptStreams::Resumed::BadOffset:
        m_responder->refuse(id, 400, "bad_offset");
        break;
    }
}

void AttemptRoutes::list(http::ExchangeId id, const std::string &owner)
{
    json attempts = json::array();
    for (const Sequence &sequence : m_model->sequences()) {
        if (isOwnedBy(sequence.owner, owner))
            attempts.push_back({{"id", sequence.attempt}, {"owner", sequence.owner}});
    }
    m_responder->respond(id, 200, json{{"attempts", attempts}}.dump());
}

void AttemptRoutes::cancel(http::ExchangeId id, const std::string &attempt)
{
    const bool wasRunning = m_model->cancel(attempt);
    const bool wasKept = m_streams->cancel(attempt);
    m_hooks.onMemoryChanged();
    m_responder->respond(id, wasRunning || wasKept ? 200 : 404, "{}");
}

} // namespace hyssop::standins
