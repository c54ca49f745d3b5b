#pragma once

#include "SendGate.h"

namespace hyssop::dispatch {

/// Nothing is sent to the upstreams of an evacuated data centre.
class EvacuatedRule final : public SendRule
{
public:
    /// \a evacuations must outlive the rule.
    explicit EvacuatedRule(const fleet::Evacuations *evacuations)
        : m_evacuations(evacuations)
    { }
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &,
                                     base::TimePoint) const override
    {
        if (!m_evacuations->dataCentres.contains(upstream.info().dataCentre))
            return std::nullopt;
        return SendRefusal{SendRefusalReason::Evacuated, std::nullopt};
    }

    bool isHard() const override { return true; }

private:
    const fleet::Evacuations *m_evacuations;
};

} // namespace hyssop::dispatch
