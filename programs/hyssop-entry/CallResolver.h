#pragma once

#include "caller/Caller.h"
#include "routing/Routing.h"

#include <memory>

namespace hyssop::entry {

/// A call with its team and route, as resolved from the current records.
struct ResolvedCall
{
    base::TeamId team;
    const records::RouteSpec *route = nullptr; ///< Valid as long as the catalogue.
    routing::RequestInfo info; ///< Its id is not set.
};

/// Resolves calls to requests by the current records: team, route, urgency and deadline. No I/O.
class CallResolver
{
public:
    /// Without \a checksCallerKeys, the team that a call names is trusted.
    explicit CallResolver(bool checksCallerKeys);

    void setCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    const std::shared_ptr<const records::Catalogue> &catalogue() const { return m_catalogue; }

    /// Authenticates the caller. Returns the team of the call, or the error to respond with.
    tl::expected<base::TeamId, caller::ErrorBody> resolveTeam(const caller::CallHead &head) const;
    /// Resolves a call, or returns the error to respond with.
    tl::expected<ResolvedCall, caller::ErrorBody> resolve(const caller::CompletionCall &call,
                                                          base::TimePoint now) const;
    tl::expected<ResolvedCall, caller::ErrorBody> resolve(const caller::ServiceCall &call,
                                                          base::TimePoint now) const;
    /// Resolves a call of an authenticated team, such as the call of a job.
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

/// JSON body of a completion request to an engine.
std::string engineRequestBody(const caller::CompletionCall &call, const records::RouteSpec &route);

} // namespace hyssop::entry
