#pragma once

#include "fleet/Fleet.h"

#include <deque>
#include <unordered_map>

namespace hyssop::dispatch {

/// When requests with some content were last answered. Of too much content, the one that was
/// answered first is forgotten first.
class AnsweredContent
{
public:
    void record(fleet::Fingerprint content, base::TimePoint now);
    std::optional<base::TimePoint> lastAnswered(fleet::Fingerprint content) const;
    std::size_t size() const { return m_times.size(); }

    static constexpr std::size_t kMaxSize = 4'096;

private:
    std::unordered_map<std::int64_t, base::TimePoint> m_times;
    /// In the order of the times. Content that was answered again is in it several times.
    std::deque<std::pair<base::TimePoint, std::int64_t>> m_order;
};

} // namespace hyssop::dispatch
