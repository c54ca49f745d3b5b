#pragma once

#include "Reachability.h"
#include "SendGate.h"

namespace hyssop::dispatch {

/// A data centre that cannot be reached gets no calls for a while if there are others.
class UnreachableRule final : public SendRule
{
public:
    /// \a reachability must outlive the rule.
    UnreachableRule(const Reachability *reachability, base::DataCentreId ownDataCentre)
        : m_reachability(reachability)
        , m_ownDataCentre(std::move(ownDataCentre))
    { }
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &,
                                     base::TimePoint now) const override
    {
        const base::DataCentreId &dataCentre = upstream.info().dataCentre;
        if (dataCentre == m_ownDataCentre || !m_reachability->isUnreachable(dataCentre, now))
            return std::nullopt;
        return SendRefusal{SendRefusalReason::Unreachable,
                           m_reachability->unreachableUntil(dataCentre)};
    }

    bool isHard() const override { return false; }

private:
    const Reachability *m_reachability;
    base::DataCentreId m_ownDataCentre;
};

} // namespace hyssop::dispatch
