#pragma once

#include "SendGate.h"

namespace hyssop::dispatch {

/// An upstream that failed too often gets no calls for a while if there are others.
class EjectedRule final : public SendRule
{
public:
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &,
                                     base::TimePoint now) const override
    {
        if (!upstream.isEjected(now))
            return std::nullopt;
        return SendRefusal{SendRefusalReason::Ejected, upstream.ejectedUntil()};
    }

    bool isHard() const override { return false; }
};

} // namespace hyssop::dispatch
