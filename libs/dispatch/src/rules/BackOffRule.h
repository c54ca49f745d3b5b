#pragma once

#include "SendGate.h"

namespace hyssop::dispatch {

/// An upstream that wants no requests of this host for some time gets none.
class BackOffRule final : public SendRule
{
public:
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &,
                                     base::TimePoint now) const override
    {
        if (now >= upstream.backsOffUntil())
            return std::nullopt;
        return SendRefusal{SendRefusalReason::BackOff, upstream.backsOffUntil()};
    }

    bool isHard() const override { return true; }
};

} // namespace hyssop::dispatch
