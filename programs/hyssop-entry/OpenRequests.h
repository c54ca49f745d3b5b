#pragma once

#include "ResponseSink.h"
#include "routing/Routing.h"

#include <unordered_map>

namespace hyssop::entry {

/// A request from its admission to its answer.
struct OpenRequest
{
    std::unique_ptr<ResponseSink> responseSink;
    std::string body; ///< Of a completion, for the engine.
    std::optional<caller::ServiceCall> service;
    routing::RequestInfo info;
    base::TimePoint arrivedAt;
    base::TimePoint lastTokenAt;
    bool hasFirstToken = false;
    bool isDropped = false; ///< Its caller does not read; to be given up.
};

/// An attempt from its start until it has ended or was cancelled.
struct OpenAttempt
{
    base::RequestId request;
    base::Endpoint address;
    bool isService = false;
    bool isResume = false;
    std::vector<base::UpstreamId> gang; ///< All members, when there is one.
};

/// Requests and attempts in flight at this host.
class OpenRequests
{
public:
    void add(OpenRequest request);
    OpenRequest *find(const base::RequestId &id);
    void erase(const base::RequestId &id) { m_requests.erase(id); }
    bool isEmpty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }

    OpenAttempt &attempt(const base::AttemptId &id) { return m_attempts[id]; }
    OpenAttempt *findAttempt(const base::AttemptId &id);
    void eraseAttempt(const base::AttemptId &id) { m_attempts.erase(id); }

private:
    std::unordered_map<base::RequestId, OpenRequest> m_requests;
    std::unordered_map<base::AttemptId, OpenAttempt> m_attempts;
};

} // namespace hyssop::entry
