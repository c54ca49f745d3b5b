#pragma once

#include "UpstreamState.h"

namespace hyssop::dispatch {

/// Kind of a request to an upstream.
enum class SendKind {
    Call, ///< A call or a part of its prompt, or memory reserved for it.
    Reserved, ///< What follows a reservation, which was counted there.
    Probe, ///< A request of this host itself.
};

/// What a request needs of the upstream that it is sent to.
struct SendScope
{
    const fleet::RegionSet *allowedRegions = nullptr; ///< Null for no restriction.
    SendKind kind = SendKind::Call;
};

/// Why a request may not be sent to an upstream.
struct SendRefusal
{
    SendRefusalReason reason = SendRefusalReason::Leaving;
    std::optional<base::TimePoint> until; ///< Empty when the end is not known.
};

/// One reason to send no request to an upstream.
class SendRule
{
public:
    virtual ~SendRule() = default;
    virtual std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &scope,
                                             base::TimePoint now) const = 0;
    /// A hard rule applies even where no other upstream is left.
    virtual bool isHard() const = 0;
};

/// Decides for everything that is sent whether a request may go to an upstream now.
class SendGate
{
public:
    void add(std::unique_ptr<SendRule> rule) { m_rules.push_back(std::move(rule)); }

    /// The refusal that lasts longest. Nothing if the request may be sent.
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &scope,
                                     base::TimePoint now) const;
    bool maySend(const UpstreamState &upstream, const SendScope &scope, base::TimePoint now) const
    {
        return !check(upstream, scope, now);
    }
    /// The same for the hard rules only.
    std::optional<SendRefusal> checkHard(const UpstreamState &upstream, const SendScope &scope,
                                         base::TimePoint now) const;
    /// Those of \a upstreams that pass all rules; if there are none, those that pass the hard ones.
    std::vector<UpstreamState *> select(const std::vector<UpstreamState *> &upstreams,
                                        const SendScope &scope, base::TimePoint now) const;
    /// Why the hard rules leave none of \a upstreams: the refusal that ends first, or else one that
    /// the upstreams do not cause themselves. Nothing if one of them passes or there are none.
    std::optional<SendRefusal> commonRefusal(const std::vector<UpstreamState *> &upstreams,
                                             const SendScope &scope, base::TimePoint now) const;

private:
    std::optional<SendRefusal> check(const UpstreamState &upstream, const SendScope &scope,
                                     bool isHardOnly, base::TimePoint now) const;

    std::vector<std::unique_ptr<SendRule>> m_rules;
};

} // namespace hyssop::dispatch
