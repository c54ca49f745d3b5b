#pragma once

#include "membership/Membership.h"
#include "routing/Routing.h"

namespace hyssop::entry {

/// What one entry host tells another of its data centre.
struct GossipBody
{
    membership::SpreadMessage spread;
    std::vector<routing::PeerOutstanding> outstanding;
};

std::string encode(const GossipBody &body);
std::optional<GossipBody> decodeGossip(std::string_view bytes);

} // namespace hyssop::entry
