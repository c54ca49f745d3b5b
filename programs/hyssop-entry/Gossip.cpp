#include "Gossip.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

using membership::HostRow;
using nlohmann::json;

// Rows are arrays: names of fields would cost more than their values.

json toJson(const HostRow &row)
{
    json j{row.id.text(), row.incarnation.count(), row.sequence};
    if (row.address.port != 0)
        j.push_back(row.address.text());
    return j;
}

HostRow hostRow(const json &j)
{
    HostRow row;
    row.id = base::HostId(j.at(0).get<std::string>());
    row.incarnation = base::Incarnation(j.at(1).get<std::int64_t>());
    row.sequence = j.at(2).get<std::int64_t>();
    if (j.size() > 3)
        row.address = base::parseEndpoint(j.at(3).get<std::string>()).value_or(base::Endpoint());
    return row;
}

json toJson(const membership::SpreadMessage &spread)
{
    json hosts = json::array();
    for (const HostRow &row : spread.hosts)
        hosts.push_back(toJson(row));
    json news = json::array();
    for (const membership::Announcement &announcement : spread.news)
        news.push_back(membership::toJson(announcement));
    json seen = json::array();
    for (const membership::UpstreamRow &row : spread.seen)
        seen.push_back({row.id.text(), row.contentTag, row.sequence});
    json wanted = json::array();
    for (const base::UpstreamId &id : spread.wanted)
        wanted.push_back(id.text());
    return {toJson(spread.from), hosts, news, seen, wanted};
}

json toJson(const std::vector<upstream::Deletions::Order> &orders)
{
    json j = json::array();
    for (const upstream::Deletions::Order &order : orders)
        j.push_back({order.to.text(), order.path});
    return j;
}

std::vector<upstream::Deletions::Order> ordersFrom(const json &j)
{
    std::vector<upstream::Deletions::Order> orders;
    for (const json &one : j) {
        const auto to = base::parseEndpoint(one.at(0).get<std::string>());
        if (to && orders.size() < kMaxHandedOn)
            orders.push_back({*to, one.at(1).get<std::string>()});
    }
    return orders;
}

membership::SpreadMessage spreadMessage(const json &j)
{
    membership::SpreadMessage spread;
    spread.from = hostRow(j.at(0));
    for (const json &row : j.at(1))
        spread.hosts.push_back(hostRow(row));
    for (const json &one : j.at(2)) {
        if (auto announcement = membership::parseAnnouncement(one.get<std::string>()))
            spread.news.push_back(*std::move(announcement));
    }
    for (const json &row : j.at(3))
        spread.seen.push_back({base::UpstreamId(row.at(0).get<std::string>()),
                               row.at(1).get<std::uint32_t>(), row.at(2).get<std::int64_t>()});
    for (const json &id : j.at(4))
        spread.wanted.emplace_back(id.get<std::string>());
    return spread;
}

} // namespace

std::string encode(const GossipBody &body)
{
    json outstanding = json::array();
    for (const routing::PeerOutstanding &one : body.outstanding)
        outstanding.push_back({one.upstream.text(), one.prompt.count(), one.requests,
                               one.longPrompt.count(), one.kv.count()});
    json j{toJson(body.spread), outstanding};
    if (!body.handedOn.empty())
        j.push_back(toJson(body.handedOn));
    return base::toCbor(j);
}

std::optional<GossipBody> decodeGossip(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    GossipBody body;
    try {
        body.spread = spreadMessage(j.at(0));
        for (const json &one : j.at(1))
            body.outstanding.push_back({base::HostId(),
                                        base::UpstreamId(one.at(0).get<std::string>()),
                                        base::Tokens(one.at(1).get<std::int64_t>()), one.at(2),
                                        base::Tokens(one.at(3).get<std::int64_t>()),
                                        base::Tokens(one.at(4).get<std::int64_t>())});
        if (j.size() > 2)
            body.handedOn = ordersFrom(j.at(2));
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return body;
}

} // namespace hyssop::entry
