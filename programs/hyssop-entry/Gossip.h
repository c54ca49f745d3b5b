#pragma once

#include "membership/Membership.h"
#include "routing/Routing.h"
#include "upstream/Upstream.h"

namespace hyssop::entry {

/// Body of a gossip message between entry hosts of a data centre.
struct GossipBody
{
    membership::MembershipMessage message;
    std::vector<routing::PeerLoadReport> outstanding;
    /// Unconfirmed deletions at upstreams that a stopping sender hands over; at most
    /// kMaxHandedOverDeletions.
    std::vector<upstream::DeletionQueue::Deletion> handedOver;
};

inline constexpr std::size_t kMaxHandedOverDeletions = 10'000;

std::string encodeGossip(const GossipBody &body);
/// Returns nothing for malformed bytes.
std::optional<GossipBody> decodeGossip(std::string_view bytes);

} // namespace hyssop::entry
