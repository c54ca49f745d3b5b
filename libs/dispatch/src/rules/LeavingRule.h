#pragma once

#include "SendGate.h"

namespace hyssop::dispatch {

/// An upstream that announced that it stops gets no new requests.
class LeavingRule final : public SendRule
{
public:
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &,
                                     base::TimePoint) const override
    {
        if (!upstream.info().isLeaving)
            return std::nullopt;
        return SendRefusal{SendRefusalReason::Leaving, std::nullopt};
    }

    bool isHard() const override { return true; }
};

} // namespace hyssop::dispatch
