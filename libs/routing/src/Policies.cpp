#include "routing/Routing.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

class RoundRobin final : public PlacementPolicy
{
public:
    std::size_t choose(const RequestInfo &, const std::vector<Candidate> &candidates,
                       base::TimePoint) override
    {
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

class LeastOutstanding final : public PlacementPolicy
{
public:
    std::size_t choose(const RequestInfo &, const std::vector<Candidate> &candidates,
                       base::TimePoint) override
    {
        const auto best = std::min_element(
                candidates.begin(), candidates.end(),
                [](const Candidate &a, const Candidate &b) { return a.requests < b.requests; });
        return static_cast<std::size_t>(best - candidates.begin());
    }
};

/// Least estimated time to this request's first token; among near equals, the one bound longest
/// ago, so that hosts do not follow each other.
class Adaptive final : public PlacementPolicy
{
public:
    std::size_t choose(const RequestInfo &, const std::vector<Candidate> &candidates,
                       base::TimePoint) override
    {
        const auto best = std::min_element(
                candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
                    return std::pair(a.firstToken / kNearlyEqual, a.lastBound)
                           < std::pair(b.firstToken / kNearlyEqual, b.lastBound);
                });
        return static_cast<std::size_t>(best - candidates.begin());
    }
    bool bindsAtArrival() const override { return false; }

private:
    static constexpr base::Millis kNearlyEqual{4};
};

} // namespace

std::unique_ptr<PlacementPolicy> roundRobinPolicy()
{
    return std::make_unique<RoundRobin>();
}

std::unique_ptr<PlacementPolicy> leastOutstandingPolicy()
{
    return std::make_unique<LeastOutstanding>();
}

std::unique_ptr<PlacementPolicy> adaptivePolicy()
{
    return std::make_unique<Adaptive>();
}

std::unique_ptr<PlacementPolicy> policyByName(std::string_view name)
{
    if (name == "round-robin")
        return roundRobinPolicy();
    if (name == "least-outstanding")
        return leastOutstandingPolicy();
    return adaptivePolicy();
}

} // namespace hyssop::routing
