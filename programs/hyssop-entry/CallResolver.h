#pragma once

#include "caller/Caller.h"
#include "routing/Routing.h"

#include <memory>

namespace hyssop::entry {

/// What a caller asked for, as the records in force read it.
struct ResolvedCall
{
    base::TeamId team;
    const records::RouteSpec *route = nullptr; ///< Lives as long as the catalogue.
    routing::RequestInfo info; ///< Without id.
};

/// Turns calls into requests by the records in force: team, route, urgency and deadline. No I/O.
class CallResolver
{
public:
    explicit CallResolver(bool checksCallerKeys);

    void setCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    const std::shared_ptr<const records::Catalogue> &catalogue() const { return m_catalogue; }

    /// Team that a call is for, or the error to answer with.
    tl::expected<base::TeamId, caller::ErrorBody> resolveTeam(const caller::CallHead &head) const;
    tl::expected<ResolvedCall, caller::ErrorBody> resolve(const caller::CompletionCall &call,
                                                          base::TimePoint now) const;
    tl::expected<ResolvedCall, caller::ErrorBody> resolve(const caller::ServiceCall &call,
                                                          base::TimePoint now) const;
    /// For a team that is known already, as that of a job.
    tl::expected<ResolvedCall, caller::ErrorBody> resolve(const base::TeamId &team,
                                                          const caller::CompletionCall &call,
                                                          base::TimePoint now) const;

private:
    tl::expected<ResolvedCall, caller::ErrorBody> resolve(const base::TeamId &team,
                                                          const caller::CallHead &head,
                                                          const std::string &routeName,
                                                          routing::UpstreamKind kind,
                                                          base::TimePoint now) const;

    bool m_checksCallerKeys;
    std::shared_ptr<const records::Catalogue> m_catalogue;
};

/// JSON body of a completion for an engine.
std::string engineRequestBody(const caller::CompletionCall &call, const records::RouteSpec &route);

} // namespace hyssop::entry
