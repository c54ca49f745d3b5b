#include "CallHandling.h"

#include "Errors.h"
#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::entry {

namespace {

tl::unexpected<caller::ErrorBody> refused(routing::Reason reason)
{
    routing::EndRequest end;
    end.reason = reason;
    return tl::unexpected(errorFor(end));
}

tl::unexpected<caller::ErrorBody> unauthenticated()
{
    return tl::unexpected(
            caller::ErrorBody{401, "unauthenticated", "no team's record holds this bearer key"});
}

} // namespace

CallHandling::CallHandling(bool checksCallerKeys)
    : m_checksCallerKeys(checksCallerKeys)
{ }

void CallHandling::setCatalogue(std::shared_ptr<const records::Catalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
}

tl::expected<base::TeamId, caller::ErrorBody> CallHandling::teamOf(
        const caller::CallHead &head) const
{
    if (!m_checksCallerKeys) {
        const base::TeamId team(head.team);
        if (!m_catalogue || !m_catalogue->team(team))
            return refused(routing::Reason::UnknownTeam);
        return team;
    }
    if (head.bearerKey.empty() || !m_catalogue)
        return unauthenticated();
    const base::TeamId *team = m_catalogue->teamOfKey(base::sha256Hex(head.bearerKey));
    if (!team)
        return unauthenticated();
    // A key speaks for its own team only.
    if (!head.team.empty() && head.team != team->text())
        return refused(routing::Reason::TeamNotAllowed);
    return *team;
}

tl::expected<Asked, caller::ErrorBody> CallHandling::read(const caller::CallHead &head,
                                                          const std::string &routeName,
                                                          routing::UpstreamKind kind,
                                                          base::TimePoint now) const
{
    const auto team = teamOf(head);
    if (!team)
        return tl::unexpected(team.error());
    const records::RouteSpec *route = m_catalogue->route(routeName);
    const bool isService = kind == routing::UpstreamKind::Service;
    if (!route || isService == route->service.isEmpty())
        return refused(routing::Reason::UnknownRoute);
    const auto &teams = route->teams;
    if (!teams.empty() && std::find(teams.begin(), teams.end(), *team) == teams.end())
        return refused(routing::Reason::TeamNotAllowed);
    Asked asked;
    asked.team = *team;
    asked.route = route;
    asked.info.team = *team;
    asked.info.kind = kind;
    asked.info.target = isService ? route->service.text() : route->model.text();
    asked.info.role = route->role;
    asked.info.urgency = head.urgency.value_or(route->urgency);
    const base::Millis bound = route->deadlineFor(asked.info.urgency);
    asked.info.deadline = now + std::min(bound, head.deadline.value_or(bound));
    asked.info.mayRepeat = route->mayRepeat;
    return asked;
}

tl::expected<Asked, caller::ErrorBody> CallHandling::read(const caller::CompletionCall &call,
                                                          base::TimePoint now) const
{
    auto asked = read(call.head, call.model, routing::UpstreamKind::Engine, now);
    if (!asked)
        return asked;
    asked->info.prompt = upstream::countTokens(call.prompt);
    asked->info.maxOutput = base::Tokens(call.maxTokens);
    asked->info.prefix = upstream::prefixBlocks(call.prompt);
    asked->info.body = base::Bytes(static_cast<std::int64_t>(call.prompt.size()));
    return asked;
}

tl::expected<Asked, caller::ErrorBody> CallHandling::read(const caller::ServiceCall &call,
                                                          base::TimePoint now) const
{
    auto asked = read(call.head, call.service, routing::UpstreamKind::Service, now);
    if (asked)
        asked->info.body = base::Bytes(static_cast<std::int64_t>(call.body.size()));
    return asked;
}

std::string engineBody(const caller::CompletionCall &call, const records::RouteSpec &route)
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
