#pragma once

#include "SendGate.h"

#include <algorithm>

namespace hyssop::dispatch {

/// A cold upstream gets no more than this host's share of what it bears, as it crashes above that.
class ColdRule final : public SendRule
{
public:
    /// \a shares must outlive the rule.
    explicit ColdRule(const ColdShares *shares)
        : m_shares(shares)
    { }
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &scope,
                                     base::TimePoint now) const override
    {
        if (scope.kind != SendKind::Call || now >= upstream.coldUntil())
            return std::nullopt;
        const auto share = m_shares->share(upstream.info());
        if (!share || upstream.coldRequests().count(now) < *share)
            return std::nullopt;
        const base::TimePoint until = *share == 0
                                              ? upstream.coldUntil()
                                              : upstream.coldRequests().belowLimitAt(*share, now);
        return SendRefusal{SendRefusalReason::Cold, std::min(until, upstream.coldUntil())};
    }

    bool isHard() const override { return true; }

private:
    const ColdShares *m_shares;
};

} // namespace hyssop::dispatch
