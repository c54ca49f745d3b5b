#pragma once

#include "ResponseSink.h"
#include "routing/Routing.h"

#include <unordered_map>

namespace hyssop::entry {

/// A request in flight, from its admission to the end of its response.
struct OpenRequest
{
    std::unique_ptr<ResponseSink> responseSink;
    std::string body; ///< Request body for the engine, if it is a completion.
    std::optional<caller::ServiceCall> service; ///< Set for a call of a plain service.
    routing::RequestInfo info;
    base::TimePoint arrivedAt;
    base::TimePoint lastTokenAt;
    bool hasFirstToken = false;
    bool isDropped = false; ///< Will be cancelled because its caller reads too slowly.
};

/// An attempt that has started and has neither ended nor been cancelled.
struct OpenAttempt
{
    base::RequestId request;
    base::Endpoint address;
    bool isService = false;
    bool isResume = false;
    std::vector<base::UpstreamId>
            gang; ///< All members with the first engine in front; empty without a gang.
};

/// Requests and attempts in flight at this host.
class OpenRequests
{
public:
    void add(OpenRequest request);
    /// Returns null if there is no such request.
    OpenRequest *find(const base::RequestId &id);
    void erase(const base::RequestId &id) { m_requests.erase(id); }
    bool isEmpty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }

    /// Returns the attempt and adds it if it is new.
    OpenAttempt &attempt(const base::AttemptId &id) { return m_attempts[id]; }
    /// Returns null if there is no such attempt.
    OpenAttempt *findAttempt(const base::AttemptId &id);
    void eraseAttempt(const base::AttemptId &id) { m_attempts.erase(id); }

private:
    std::unordered_map<base::RequestId, OpenRequest> m_requests;
    std::unordered_map<base::AttemptId, OpenAttempt> m_attempts;
};

} // namespace hyssop::entry
