#include "OpenRequests.h"

namespace hyssop::entry {

void OpenRequests::add(OpenRequest request)
{
    base::RequestId id = request.info.id;
    m_requests.emplace(std::move(id), std::move(request));
}

OpenRequest *OpenRequests::find(const base::RequestId &id)
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

OpenAttempt *OpenRequests::findAttempt(const base::AttemptId &id)
{
    const auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : &it->second;
}

} // namespace hyssop::entry
