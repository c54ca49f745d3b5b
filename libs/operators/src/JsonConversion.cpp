#include "operators/Operators.h"

#include <nlohmann/json.hpp>

namespace hyssop::operators {

using nlohmann::json;

namespace {

constexpr PutStatus kPutStatuses[]{PutStatus::Accepted, PutStatus::Conflict, PutStatus::Invalid,
                                   PutStatus::Unavailable, PutStatus::Unknown};

/// Value of a string field; empty if it is missing or of another type.
std::string stringField(const json &body, const char *field)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

json recordToJson(const records::Record &record)
{
    return json::parse(records::toJson(record), nullptr, false);
}

} // namespace

std::string_view putStatusName(PutStatus status)
{
    switch (status) {
    case PutStatus::Accepted:
        return "accepted";
    case PutStatus::Conflict:
        return "conflict";
    case PutStatus::Invalid:
        return "invalid";
    case PutStatus::Unavailable:
        return "unavailable";
    case PutStatus::Unknown:
        break;
    }
    return "unknown";
}

std::string toJson(const PutReply &reply)
{
    json body{{"status", putStatusName(reply.status)},
              {"message", reply.message},
              {"position", reply.logIndex}};
    if (reply.current)
        body["current"] = recordToJson(*reply.current);
    return body.dump();
}

std::optional<PutReply> putReplyFromJson(std::string_view text)
{
    const auto body = base::parseJson(text);
    if (!body || !body->is_object())
        return std::nullopt;
    PutReply reply;
    const std::string name = stringField(*body, "status");
    bool isKnown = false;
    for (const PutStatus status : kPutStatuses) {
        if (putStatusName(status) != name)
            continue;
        reply.status = status;
        isKnown = true;
    }
    if (!isKnown)
        return std::nullopt;
    reply.message = stringField(*body, "message");
    const auto position = body->find("position");
    if (position != body->end() && position->is_number_integer())
        reply.logIndex = position->get<std::int64_t>();
    if (body->contains("current")) {
        if (auto record = records::recordFromJson(body->at("current").dump()))
            reply.current = *std::move(record);
    }
    return reply;
}

std::string toJson(const StatusReply &reply)
{
    json hosts = json::array();
    for (const HostStatus &host : reply.hosts)
        hosts.push_back({{"host", host.host.text()},
                         {"dataCentre", host.dataCentre.text()},
                         {"position", host.appliedIndex},
                         {"ageMs", host.ageMs}});
    const json body{{"host", reply.host.text()},
                    {"leader", reply.leader},
                    {"term", reply.term},
                    {"position", reply.recordsIndex},
                    {"confirmed", reply.hasLeaderContact},
                    {"hosts", std::move(hosts)}};
    return body.dump();
}

std::optional<StatusReply> statusFromJson(std::string_view text)
{
    const auto body = base::parseJson(text);
    if (!body || !body->is_object())
        return std::nullopt;
    try {
        StatusReply reply;
        reply.host = base::HostId(body->at("host"));
        reply.leader = body->at("leader");
        reply.term = body->at("term");
        reply.recordsIndex = body->at("position");
        reply.hasLeaderContact = body->at("confirmed");
        for (const json &host : body->at("hosts"))
            reply.hosts.push_back({base::HostId(host.at("host")),
                                   base::DataCentreId(host.at("dataCentre")), host.at("position"),
                                   host.at("ageMs")});
        return reply;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace hyssop::operators
