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
        const auto best = std::min_element(candidates.begin(), candidates.end(),
                                           [](const Candidate &a, const Candidate &b) {
                                               return a.outstandingRequests < b.outstandingRequests;
                                           });
        return static_cast<std::size_t>(best - candidates.begin());
    }
};

/// Lowest estimated time to first token. Near-equal candidates are ordered by least recent
/// assignment, so that several hosts do not all pick the same upstream.
class Adaptive final : public PlacementPolicy
{
public:
    std::size_t choose(const RequestInfo &, const std::vector<Candidate> &candidates,
                       base::TimePoint) override
    {
        const auto best = std::min_element(
                candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
                    return std::pair(a.timeToFirstToken / kTieTolerance, a.lastAssigned)
                           < std::pair(b.timeToFirstToken / kTieTolerance, b.lastAssigned);
                });
        return static_cast<std::size_t>(best - candidates.begin());
    }
    bool assignsOnArrival() const override { return false; }

private:
    static constexpr base::Millis kTieTolerance{4};
};

} // namespace

std::unique_ptr<PlacementPolicy> makeRoundRobinPolicy()
{
    return std::make_unique<RoundRobin>();
}

std::unique_ptr<PlacementPolicy> makeLeastOutstandingPolicy()
{
    return std::make_unique<LeastOutstanding>();
}

std::unique_ptr<PlacementPolicy> makeAdaptivePolicy()
{
    return std::make_unique<Adaptive>();
}

std::unique_ptr<PlacementPolicy> makePolicy(std::string_view name)
{
    if (name == "round-robin")
        return makeRoundRobinPolicy();
    if (name == "least-outstanding")
        return makeLeastOutstandingPolicy();
    return makeAdaptivePolicy();
}

} // namespace hyssop::routing
