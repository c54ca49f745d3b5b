#pragma once

#include "fleet/Fleet.h"

#include <list>
#include <unordered_map>

namespace hyssop::dispatch {

/// When each content was last seen in some kind of request, for example an answered one. Of too
/// much content, the one that was seen the longest ago is forgotten first.
class AnsweredContent
{
public:
    void record(fleet::Fingerprint content, base::TimePoint now);
    std::optional<base::TimePoint> lastAnswered(fleet::Fingerprint content) const;
    /// The latest content that was answered after \a from, and at most \a limit of it.
    std::vector<fleet::Fingerprint> answeredAfter(base::TimePoint from, std::size_t limit) const;
    std::size_t size() const { return m_times.size(); }

    /// Some twenty prompts with as many parts as a header section takes; 3 MB.
    static constexpr std::size_t kMaxSize = 32'768;

private:
    using Order = std::list<std::pair<base::TimePoint, std::int64_t>>;
    Order m_order; ///< The latest content at the end.
    std::unordered_map<std::int64_t, Order::iterator> m_times;
};

} // namespace hyssop::dispatch
