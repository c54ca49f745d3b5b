#include "Gossip.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

using nlohmann::json;

std::string encode(const GossipBody &body)
{
    json announcements = json::array();
    for (const membership::Announcement &announcement : body.announcements)
        announcements.push_back(membership::toJson(announcement));
    json outstanding = json::array();
    for (const routing::PeerOutstanding &one : body.outstanding)
        outstanding.push_back({one.upstream.text(), one.prompt.count(), one.requests,
                               one.longPrompt.count(), one.kv.count()});
    const std::vector<std::uint8_t> cbor =
            json::to_cbor({{"announcements", announcements}, {"outstanding", outstanding}});
    return {reinterpret_cast<const char *>(cbor.data()), cbor.size()};
}

std::optional<GossipBody> decodeGossip(std::string_view bytes)
{
    const json j = json::from_cbor(bytes, true, false);
    if (j.is_discarded())
        return std::nullopt;
    GossipBody body;
    try {
        for (const json &one : j.at("announcements")) {
            if (auto announcement = membership::parseAnnouncement(one.get<std::string>()))
                body.announcements.push_back(*std::move(announcement));
        }
        for (const json &one : j.at("outstanding"))
            body.outstanding.push_back({base::HostId(), base::UpstreamId(one.at(0)),
                                        base::Tokens(one.at(1)), one.at(2), base::Tokens(one.at(3)),
                                        base::Tokens(one.at(4))});
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return body;
}

} // namespace hyssop::entry
