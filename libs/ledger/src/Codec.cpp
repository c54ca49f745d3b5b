#include "EvacuationLease.h"
#include "JsonConversion.h"

namespace hyssop::ledger {

using nlohmann::json;

json toJson(const Owner &owner)
{
    return {{"host", owner.host.text()}, {"incarnation", owner.incarnation.count()}};
}

Owner ownerFromJson(const json &j)
{
    return {base::HostId(j.at("host")), base::Incarnation(j.at("incarnation"))};
}

json toJson(const std::optional<Answer> &answer)
{
    if (!answer)
        return nullptr;
    return {{"status", answer->status}, {"type", answer->contentType}, {"body", answer->body}};
}

std::optional<Answer> answerFromJson(const json &j)
{
    if (j.is_null())
        return std::nullopt;
    return Answer{j.at("status"), j.at("type"), j.at("body")};
}

json toJson(const Reply &reply)
{
    return {{"status", static_cast<int>(reply.status)},
            {"message", reply.message},
            {"current", reply.currentRecord ? json(records::toJson(*reply.currentRecord)) : json()},
            {"answer", toJson(reply.answer)},
            {"fencing", reply.fencingToken},
            {"position", reply.logIndex}};
}

Reply replyFromJson(const json &j)
{
    Reply reply;
    reply.status = static_cast<Status>(j.at("status").get<int>());
    reply.message = j.at("message");
    if (!j.at("current").is_null()) {
        if (auto record = records::recordFromJson(j.at("current").get<std::string>()))
            reply.currentRecord = *std::move(record);
    }
    reply.answer = answerFromJson(j.at("answer"));
    reply.fencingToken = j.at("fencing");
    reply.logIndex = j.value("position", std::int64_t(0));
    return reply;
}

std::string toBytes(const json &j)
{
    return base::toCbor(j);
}

namespace {

json commandToJson(const PutRecord &c)
{
    return {{"op", "put"},
            {"change", c.changeId},
            {"replaces", c.expectedVersion.count()},
            {"record", records::toJson(c.record)}};
}

json commandToJson(const Claim &c)
{
    return {{"op", "claim"},
            {"team", c.team.text()},
            {"key", c.key},
            {"digest", c.requestDigest},
            {"owner", toJson(c.owner)},
            {"attempt", c.attemptId}};
}

json commandToJson(const ReleaseClaim &c)
{
    return {{"op", "release"},
            {"team", c.team.text()},
            {"key", c.key},
            {"owner", toJson(c.owner)},
            {"attempt", c.attemptId}};
}

json commandToJson(const FinishClaim &c)
{
    return {{"op", "finish"},           {"team", c.team.text()},      {"key", c.key},
            {"owner", toJson(c.owner)}, {"answer", toJson(c.answer)}, {"attempt", c.attemptId}};
}

json commandToJson(const RetireOwner &c)
{
    return {{"op", "retire"}, {"owner", toJson(c.owner)}};
}

json commandToJson(const ReinstateOwner &c)
{
    return {{"op", "reinstate"}, {"owner", toJson(c.owner)}};
}

json commandToJson(const SubmitJob &c)
{
    return {{"op", "submit"},
            {"id", c.id.text()},
            {"team", c.team.text()},
            {"request", c.request},
            {"limit", c.timeLimit.count()}};
}

json commandToJson(const TakeJob &c)
{
    return {{"op", "take"}, {"id", c.id.text()}, {"owner", toJson(c.owner)}};
}

json commandToJson(const FinishJob &c)
{
    return {{"op", "end"},
            {"id", c.id.text()},
            {"owner", toJson(c.owner)},
            {"state", static_cast<int>(c.state)},
            {"result", c.result}};
}

json commandToJson(const TakeLease &c)
{
    return {{"op", "lease"},
            {"name", c.name},
            {"owner", toJson(c.owner)},
            {"duration", c.duration.count()}};
}

json commandToJson(const InitializeGroup &c)
{
    return {{"op", "found"}, {"incarnation", c.incarnation}};
}

json commandToJson(const PutConfiguration &c)
{
    return {{"op", "configure"}, {"version", c.version}, {"text", c.text}};
}

// Builds before this command take it for malformed and go on.
json commandToJson(const PutCrashSuspects &c)
{
    return {{"op", "suspect"}, {"text", c.text}};
}

json commandToJson(const SetEvacuation &c)
{
    return commandToJson(toLease(c));
}

std::optional<Command> commandFromJson(const json &j)
{
    const std::string op = j.at("op");
    if (op == "put") {
        auto record = records::recordFromJson(j.at("record").get<std::string>());
        if (!record)
            return std::nullopt;
        return PutRecord{j.at("change"), records::Version(j.at("replaces")), *std::move(record)};
    }
    if (op == "claim")
        return Claim{base::TeamId(j.at("team")), j.at("key"), j.at("digest"),
                     ownerFromJson(j.at("owner")), j.value("attempt", "")};
    if (op == "release")
        return ReleaseClaim{base::TeamId(j.at("team")), j.at("key"), ownerFromJson(j.at("owner")),
                            j.value("attempt", "")};
    if (op == "finish")
        return FinishClaim{base::TeamId(j.at("team")), j.at("key"), ownerFromJson(j.at("owner")),
                           answerFromJson(j.at("answer")), j.value("attempt", "")};
    if (op == "retire")
        return RetireOwner{ownerFromJson(j.at("owner"))};
    if (op == "reinstate")
        return ReinstateOwner{ownerFromJson(j.at("owner"))};
    if (op == "submit")
        return SubmitJob{base::JobId(j.at("id")), base::TeamId(j.at("team")), j.at("request"),
                         base::Millis(j.at("limit"))};
    if (op == "take")
        return TakeJob{base::JobId(j.at("id")), ownerFromJson(j.at("owner"))};
    if (op == "end")
        return FinishJob{base::JobId(j.at("id")), ownerFromJson(j.at("owner")),
                         static_cast<JobState>(j.at("state").get<int>()), j.at("result")};
    if (op == "lease") {
        const TakeLease lease{j.at("name"), ownerFromJson(j.at("owner")),
                              base::Millis(j.at("duration"))};
        if (const auto evacuation = toEvacuation(lease.name, lease.owner))
            return *evacuation;
        return lease;
    }
    if (op == "found")
        return InitializeGroup{j.at("incarnation").get<std::int64_t>()};
    if (op == "configure")
        return PutConfiguration{j.at("version").get<std::int64_t>(), j.at("text")};
    if (op == "suspect")
        return PutCrashSuspects{j.at("text")};
    return std::nullopt;
}

} // namespace

std::string encode(const Command &command, std::int64_t logTimeMs)
{
    json j = std::visit([](const auto &c) { return commandToJson(c); }, command);
    j["time"] = logTimeMs;
    return toBytes(j);
}

std::optional<StampedCommand> decodeCommand(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        auto command = commandFromJson(j);
        if (!command)
            return std::nullopt;
        return StampedCommand{*std::move(command), j.at("time")};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string encode(const Reply &reply)
{
    return toBytes(toJson(reply));
}

std::optional<Reply> decodeReply(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        return replyFromJson(j);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace hyssop::ledger
