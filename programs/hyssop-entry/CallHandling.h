#pragma once

#include "caller/Caller.h"
#include "routing/Routing.h"

#include <memory>

namespace hyssop::entry {

/// What a caller asked for, as the records in force read it.
struct Asked
{
    base::TeamId team;
    const records::RouteSpec *route = nullptr; ///< Lives as long as the catalogue.
    routing::RequestInfo info; ///< Without id.
};

/// Turns calls into requests by the records in force: team, route, urgency and deadline. No I/O.
class CallHandling
{
public:
    explicit CallHandling(bool checksCallerKeys);

    void setCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    const std::shared_ptr<const records::Catalogue> &catalogue() const { return m_catalogue; }

    /// Team that a call is for, or the error to answer with.
    tl::expected<base::TeamId, caller::ErrorBody> teamOf(const caller::CallHead &head) const;
    tl::expected<Asked, caller::ErrorBody> read(const caller::CompletionCall &call,
                                                base::TimePoint now) const;
    tl::expected<Asked, caller::ErrorBody> read(const caller::ServiceCall &call,
                                                base::TimePoint now) const;

private:
    tl::expected<Asked, caller::ErrorBody> read(const caller::CallHead &head,
                                                const std::string &routeName,
                                                routing::UpstreamKind kind,
                                                base::TimePoint now) const;

    bool m_checksCallerKeys;
    std::shared_ptr<const records::Catalogue> m_catalogue;
};

/// JSON body of a completion for an engine.
std::string engineBody(const caller::CompletionCall &call, const records::RouteSpec &route);

} // namespace hyssop::entry
