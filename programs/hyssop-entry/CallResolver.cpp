#include "CallResolver.h"

#include "Errors.h"
#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::entry {

namespace {

tl::unexpected<caller::ErrorBody> refusal(routing::EndReason reason)
{
    routing::FailRequest end;
    end.reason = reason;
    return tl::unexpected(errorFor(end));
}

tl::unexpected<caller::ErrorBody> unauthenticated()
{
    return tl::unexpected(
            caller::ErrorBody{401, "unauthenticated", "the bearer key belongs to no team"});
}

tl::unexpected<caller::ErrorBody> notReady()
{
    constexpr base::Millis kRetryAfter{1'000};
    return tl::unexpected(caller::ErrorBody{503, "not_ready", "this host has no records yet",
                                            caller::Outcome::NotRun, kRetryAfter});
}

} // namespace

CallResolver::CallResolver(bool checksCallerKeys)
    : m_checksCallerKeys(checksCallerKeys)
{ }

void CallResolver::setCatalogue(std::shared_ptr<const records::Catalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
}

tl::expected<base::TeamId, caller::ErrorBody> CallResolver::resolveTeam(
        const caller::CallHead &head) const
{
    if (!m_catalogue)
        return notReady();
    if (!m_checksCallerKeys) {
        const base::TeamId team(head.team);
        if (!m_catalogue->team(team))
            return refusal(routing::EndReason::UnknownTeam);
        return team;
    }
    if (head.bearerKey.empty())
        return unauthenticated();
    const base::TeamId *team = m_catalogue->teamOfKeyDigest(base::sha256Hex(head.bearerKey));
    if (!team)
        return unauthenticated();
    // A key authenticates its own team only.
    if (!head.team.empty() && head.team != team->text())
        return refusal(routing::EndReason::TeamNotAllowed);
    return *team;
}

tl::expected<ResolvedCall, caller::ErrorBody> CallResolver::resolve(const base::TeamId &team,
                                                                    const caller::CallHead &head,
                                                                    const std::string &routeName,
                                                                    routing::UpstreamKind kind,
                                                                    base::TimePoint now) const
{
    if (!m_catalogue || !m_catalogue->team(team))
        return refusal(routing::EndReason::UnknownTeam);
    const records::RouteSpec *route = m_catalogue->route(routeName);
    const bool isService = kind == routing::UpstreamKind::Service;
    if (!route || isService == route->service.isEmpty())
        return refusal(routing::EndReason::UnknownRoute);
    const auto &teams = route->teams;
    if (!teams.empty() && std::find(teams.begin(), teams.end(), team) == teams.end())
        return refusal(routing::EndReason::TeamNotAllowed);
    ResolvedCall resolved;
    resolved.team = team;
    resolved.route = route;
    resolved.info.team = team;
    resolved.info.kind = kind;
    resolved.info.modelOrService = isService ? route->service.text() : route->model.text();
    resolved.info.role = route->role;
    resolved.info.urgency = head.urgency.value_or(route->urgency);
    const base::Millis maxDeadline = route->deadlineFor(resolved.info.urgency);
    resolved.info.deadline = now + std::min(maxDeadline, head.deadline.value_or(maxDeadline));
    resolved.info.isRetrySafe = route->isRetrySafe;
    return resolved;
}

tl::expected<ResolvedCall, caller::ErrorBody> CallResolver::resolve(
        const caller::CompletionCall &call, base::TimePoint now) const
{
    const auto team = resolveTeam(call.head);
    if (!team)
        return tl::unexpected(team.error());
    return resolve(*team, call, now);
}

tl::expected<ResolvedCall, caller::ErrorBody> CallResolver::resolve(
        const base::TeamId &team, const caller::CompletionCall &call, base::TimePoint now) const
{
    auto resolved = resolve(team, call.head, call.model, routing::UpstreamKind::Engine, now);
    if (!resolved)
        return resolved;
    resolved->info.promptTokens = upstream::estimateTokens(call.prompt);
    resolved->info.maxOutputTokens = base::Tokens(call.maxTokens);
    resolved->info.prefixHashes = upstream::prefixHashes(call.prompt);
    resolved->info.bodyBytes = base::Bytes(static_cast<std::int64_t>(call.prompt.size()));
    return resolved;
}

tl::expected<ResolvedCall, caller::ErrorBody> CallResolver::resolve(const caller::ServiceCall &call,
                                                                    base::TimePoint now) const
{
    const auto team = resolveTeam(call.head);
    if (!team)
        return tl::unexpected(team.error());
    auto resolved = resolve(*team, call.head, call.service, routing::UpstreamKind::Service, now);
    if (resolved)
        resolved->info.bodyBytes = base::Bytes(static_cast<std::int64_t>(call.body.size()));
    return resolved;
}

std::string engineRequestBody(const caller::CompletionCall &call, const records::RouteSpec &route)
{
    nlohmann::json body{{"model", route.model.text()},
                        {"prompt", call.prompt},
                        {"max_tokens", call.maxTokens},
                        {"stream", true}};
    if (!route.adapter.empty())
        body["adapter"] = route.adapter;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hyssop::entry
