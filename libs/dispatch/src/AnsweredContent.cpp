#include "AnsweredContent.h"

namespace hyssop::dispatch {

namespace {

/// Times are no more precise than this, so that common content is not recorded with each answer.
constexpr base::Millis kPrecision{100};

} // namespace

void AnsweredContent::record(fleet::Fingerprint content, base::TimePoint now)
{
    const auto [it, isNew] = m_times.try_emplace(content.count(), now);
    if (!isNew && now < it->second + kPrecision)
        return;
    it->second = now;
    m_order.emplace_back(now, content.count());
    while (m_order.size() > kMaxSize) {
        const auto [at, oldest] = m_order.front();
        m_order.pop_front();
        const auto time = m_times.find(oldest);
        if (time != m_times.end() && time->second == at)
            m_times.erase(time);
    }
}

std::optional<base::TimePoint> AnsweredContent::lastAnswered(fleet::Fingerprint content) const
{
    const auto it = m_times.find(content.count());
    return it == m_times.end() ? std::nullopt : std::optional(it->second);
}

} // namespace hyssop::dispatch
