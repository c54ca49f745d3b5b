#pragma once

#include "SendGate.h"

namespace hyssop::dispatch {

/// A call does not leave the regions that its route and its team allow. A data centre whose region
/// is not known is outside.
class RegionRule final : public SendRule
{
public:
    explicit RegionRule(Regions regions)
        : m_regions(std::move(regions))
    { }
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &scope,
                                     base::TimePoint) const override
    {
        if (!scope.allowedRegions
            || isAllowed(m_regions, *scope.allowedRegions, upstream.info().dataCentre))
            return std::nullopt;
        return SendRefusal{SendRefusalReason::OutsideRegions, std::nullopt};
    }

    bool isHard() const override { return true; }

private:
    Regions m_regions;
};

} // namespace hyssop::dispatch
