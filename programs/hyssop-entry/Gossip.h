#pragma once

#include "membership/Membership.h"
#include "routing/Routing.h"
#include "upstream/Upstream.h"

namespace hyssop::entry {

/// What one entry host tells another of its data centre.
struct GossipBody
{
    membership::SpreadMessage spread;
    std::vector<routing::PeerOutstanding> outstanding;
    /// Orders to upstreams that the sender gives over as it ends; at most kMaxHandedOn.
    std::vector<upstream::Deletions::Order> handedOver;
};

inline constexpr std::size_t kMaxHandedOverDeletions = 10'000;

std::string encode(const GossipBody &body);
std::optional<GossipBody> decodeGossip(std::string_view bytes);

} // namespace hyssop::entry
