#include "SendGate.h"

namespace hyssop::dispatch {

namespace {

base::TimePoint endOf(const SendRefusal &refusal)
{
    return refusal.until.value_or(base::TimePoint::max());
}

} // namespace

std::string_view sendRefusalReasonName(SendRefusalReason reason)
{
    switch (reason) {
    case SendRefusalReason::Leaving:
        return "leaving";
    case SendRefusalReason::Evacuated:
        return "evacuated";
    case SendRefusalReason::OutsideRegions:
        return "outside_regions";
    case SendRefusalReason::BackOff:
        return "back_off";
    case SendRefusalReason::Cold:
        return "cold";
    case SendRefusalReason::Ejected:
        return "ejected";
    case SendRefusalReason::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::optional<SendRefusal> SendGate::check(const UpstreamState &upstream, const SendScope &scope,
                                           bool isHardOnly, base::TimePoint now) const
{
    std::optional<SendRefusal> longest;
    for (const auto &rule : m_rules) {
        if (isHardOnly && !rule->isHard())
            continue;
        const auto refusal = rule->check(upstream, scope, now);
        if (refusal && (!longest || endOf(*refusal) > endOf(*longest)))
            longest = refusal;
    }
    return longest;
}

std::optional<SendRefusal> SendGate::check(const UpstreamState &upstream, const SendScope &scope,
                                           base::TimePoint now) const
{
    return check(upstream, scope, false, now);
}

std::optional<SendRefusal> SendGate::checkHard(const UpstreamState &upstream,
                                               const SendScope &scope, base::TimePoint now) const
{
    return check(upstream, scope, true, now);
}

std::vector<UpstreamState *> SendGate::select(const std::vector<UpstreamState *> &upstreams,
                                              const SendScope &scope, base::TimePoint now) const
{
    std::vector<UpstreamState *> usable;
    for (UpstreamState *it : upstreams) {
        if (maySend(*it, scope, now))
            usable.push_back(it);
    }
    if (!usable.empty())
        return usable;
    for (UpstreamState *it : upstreams) {
        if (!checkHard(*it, scope, now))
            usable.push_back(it);
    }
    return usable;
}

std::optional<SendRefusal> SendGate::commonRefusal(const std::vector<UpstreamState *> &upstreams,
                                                   const SendScope &scope,
                                                   base::TimePoint now) const
{
    std::optional<SendRefusal> common;
    for (const UpstreamState *it : upstreams) {
        const auto refusal = checkHard(*it, scope, now);
        if (!refusal)
            return std::nullopt;
        const bool isSooner = common && endOf(*refusal) < endOf(*common);
        const bool hidesCause = common && endOf(*refusal) == endOf(*common)
                                && common->reason == SendRefusalReason::Leaving;
        if (!common || isSooner || hidesCause)
            common = refusal;
    }
    return common;
}

} // namespace hyssop::dispatch
