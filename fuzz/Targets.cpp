#include "Targets.h"

#include "caller/Caller.h"
#include "Frames.h"
#include "Gossip.h"
#include "group/Group.h"
#include "JobJson.h"
#include "ledger/Ledger.h"
#include "membership/Membership.h"
#include "operators/Operators.h"
#include "PlatformTargets.h"
#include "records/Records.h"
#include "upstream/Upstream.h"
#include "Wire.h"

#include <nlohmann/json.hpp>

namespace hyssop::fuzz {

namespace {

/// Records that were read are valid and survive a turn through JSON.
bool recordsHold(std::string_view bytes)
{
    const auto records = records::readYaml("input", std::string(bytes));
    if (!records)
        return !records.error().empty();
    for (const records::Record &record : *records) {
        const auto again = records::recordFromJson(records::toJson(record));
        if (!again || !(*again == record))
            return false;
    }
    return true;
}

bool recordJsonHolds(std::string_view bytes)
{
    const auto record = records::recordFromJson(bytes);
    if (!record)
        return true;
    const auto again = records::recordFromJson(records::toJson(*record));
    (void)records::validate(*record);
    return again && *again == *record;
}

std::vector<std::string> eventsOf(std::string_view bytes, std::size_t portion, bool &isFine)
{
    upstream::SseParser parser;
    std::vector<std::string> events;
    isFine = true;
    for (std::size_t at = 0; at < bytes.size() && isFine; at += portion)
        isFine = parser.feed(bytes.substr(at, portion),
                             [&](std::string_view data) { events.emplace_back(data); });
    return events;
}

/// The events do not depend on how the bytes are cut.
bool sseHolds(std::string_view bytes)
{
    bool isWholeFine = true;
    bool isCutFine = true;
    const auto whole = eventsOf(bytes, std::max<std::size_t>(bytes.size(), 1), isWholeFine);
    const auto cut = eventsOf(bytes, 3, isCutFine);
    return isWholeFine == isCutFine && (!isWholeFine || whole == cut);
}

bool announcementHolds(std::string_view bytes)
{
    const auto announcement = membership::parseAnnouncement(bytes);
    if (!announcement)
        return !announcement.error().message.empty();
    const std::string text = membership::toJson(*announcement);
    const auto again = membership::parseAnnouncement(text);
    return again && membership::toJson(*again) == text;
}

/// What is read is in a range that the router can reckon with.
bool engineEventHolds(std::string_view bytes)
{
    const auto event = upstream::parseEngineEvent(base::UpstreamId("engine-1"), bytes);
    const auto *load = event ? std::get_if<routing::LoadReported>(&*event) : nullptr;
    if (!load)
        return true;
    return load->age >= base::Millis(0) && load->age <= upstream::kMaxLoadAge && load->running >= 0
           && load->queued >= 0 && load->queuedPromptTokens >= base::Tokens(0)
           && load->queuedPromptTokens <= upstream::kMaxReportedTokens
           && load->usedKvTokens >= base::Tokens(0)
           && load->usedKvTokens <= upstream::kMaxReportedTokens;
}

bool putReplyHolds(std::string_view bytes)
{
    const auto reply = operators::putReplyFromJson(bytes);
    if (!reply)
        return true;
    const std::string text = operators::toJson(*reply);
    const auto again = operators::putReplyFromJson(text);
    return again && operators::toJson(*again) == text;
}

bool statusReplyHolds(std::string_view bytes)
{
    const auto reply = operators::statusFromJson(bytes);
    if (!reply)
        return true;
    const std::string text = operators::toJson(*reply);
    const auto again = operators::statusFromJson(text);
    return again && operators::toJson(*again) == text;
}

bool envelopeHolds(std::string_view bytes)
{
    const auto envelope = group::decodeEnvelope(bytes);
    if (!envelope)
        return true;
    const std::string text = group::encode(*envelope);
    const auto again = group::decodeEnvelope(text);
    return again && group::encode(*again) == text;
}

/// Answers of control hosts about jobs, and the requests kept in them.
bool jobAnswerHolds(std::string_view bytes)
{
    const std::string answer(bytes);
    const ledger::Owner self{base::HostId("entry-1"), base::Incarnation(7)};
    for (const entry::OpenJob &job : entry::parseOpenJobs(answer)) {
        if (job.id.isEmpty())
            return false;
    }
    const auto newest = entry::latestJobAnswer({answer, answer});
    if (newest && *newest != answer)
        return false;
    if (const auto taken = entry::parseTakenJob(answer, self))
        (void)entry::parseJobRequest(taken->request);
    (void)entry::parseJobRequest(answer);
    (void)entry::isConfirmedAbsent({answer});
    (void)entry::jobResponse(answer, base::TeamId("office-1"));
    return !entry::jobListResponse({answer}, 0).empty();
}

bool gossipHolds(std::string_view bytes)
{
    const auto body = entry::decodeGossip(bytes);
    if (!body)
        return true;
    const std::string text = entry::encodeGossip(*body);
    const auto again = entry::decodeGossip(text);
    return again && entry::encodeGossip(*again) == text;
}

bool commandHolds(std::string_view bytes)
{
    const auto command = ledger::decodeCommand(bytes);
    if (!command)
        return true;
    const std::string text = ledger::encode(command->command, command->logTimeMs);
    const auto again = ledger::decodeCommand(text);
    if (!again || ledger::encode(again->command, again->logTimeMs) != text)
        return false;
    // The ledger answers every command that it can read, and survives its own snapshot.
    ledger::Ledger ledger;
    replog::Entry entry;
    entry.position = {replog::Term(1), replog::Index(1)};
    entry.payload = bytes;
    ledger.apply(entry);
    ledger::Ledger restored;
    return restored.restore(ledger.snapshot()) && restored.snapshot() == ledger.snapshot();
}

bool snapshotHolds(std::string_view bytes)
{
    ledger::Ledger ledger;
    if (!ledger.restore(std::string(bytes)))
        return true;
    ledger::Ledger again;
    return again.restore(ledger.snapshot()) && again.snapshot() == ledger.snapshot();
}

/// Frames are taken off one after the other until none is whole; each one shortens the rest.
bool segmentHolds(std::string_view bytes)
{
    nlohmann::json json;
    std::size_t before = bytes.size() + 1;
    while (bytes.size() < before) {
        before = bytes.size();
        if (replog::decodeFrame(bytes, json) != replog::FrameState::Complete)
            return bytes.size() == before;
    }
    return bytes.empty();
}

bool wireHolds(std::string_view bytes)
{
    const auto wire = replog::decodeProtocolMessage(bytes);
    if (!wire)
        return true;
    const std::string text = replog::encode(*wire);
    const auto again = replog::decodeProtocolMessage(text);
    return again && replog::encode(*again) == text;
}

bool completionHolds(std::string_view bytes)
{
    for (const bool isChat : {false, true}) {
        const auto call = caller::parseCompletion(bytes, isChat);
        if (!call && (call.error().code.empty() || call.error().status < 400))
            return false;
        if (call && (call->maxTokens < 1 || call->isChat != isChat))
            return false;
    }
    return true;
}

std::string exampleCommand()
{
    ledger::PutRecord put;
    put.changeId = "change-1";
    put.record.kind = records::Kind::Team;
    put.record.name = "office-1";
    put.record.version = records::Version(1);
    put.record.spec = R"({"weight":4})";
    return ledger::encode(put, 1'000);
}

std::string exampleClaim()
{
    ledger::Claim claim;
    claim.team = base::TeamId("office-1");
    claim.key = "key";
    claim.requestDigest = "digest";
    claim.owner = {base::HostId("entry-1"), base::Incarnation(7)};
    return ledger::encode(claim, 1'000);
}

std::string exampleSnapshot()
{
    ledger::Ledger ledger;
    replog::Entry entry;
    entry.position = {replog::Term(1), replog::Index(1)};
    entry.payload = exampleClaim();
    ledger.apply(entry);
    return ledger.snapshot();
}

std::string exampleSegment()
{
    return replog::encodeFrame(
                   {{"op", "append"}, {"term", 1}, {"index", 1}, {"kind", 0}, {"payload", "bytes"}})
           + replog::encodeFrame({{"op", "hard"}, {"term", 2}, {"vote", "control-1"}});
}

std::string exampleWire()
{
    replog::ProtocolMessage wire;
    wire.term = replog::Term(3);
    replog::Entry entry;
    entry.position = {replog::Term(3), replog::Index(9)};
    entry.payload = "payload";
    wire.entries = {entry};
    return replog::encode(wire);
}

std::string exampleAnnouncement()
{
    return R"({"id":"engine-1","incarnation":3,"sequence":4,"kind":"engine",)"
           R"("address":"127.0.0.1:9000","dataCentre":"floro-sal","role":"","models":["saga"],)"
           R"("kvTokens":400000,"checksFencing":true,"state":"serving","ttlMs":2000})";
}

std::string exampleGossip()
{
    entry::GossipBody body;
    routing::PeerLoadReport &one = body.outstanding.emplace_back();
    one.upstream = base::UpstreamId("engine-1");
    one.promptTokens = base::Tokens(12);
    one.requests = 3;
    return entry::encodeGossip(body);
}

std::string exampleEnvelope()
{
    return group::encode(group::Hello{replog::ReplicaId("r1"), true, replog::ReplicaId("r2"),
                                      base::DataCentreId()});
}

std::string examplePutReply()
{
    operators::PutReply reply;
    reply.status = operators::PutStatus::Conflict;
    reply.message = "another version is in force";
    reply.logIndex = 7;
    return operators::toJson(reply);
}

std::string exampleStatus()
{
    operators::StatusReply reply;
    reply.host = base::HostId("control-1");
    reply.hosts = {{base::HostId("entry-1"), base::DataCentreId("floro-sal"), 7, 12}};
    return operators::toJson(reply);
}

std::vector<std::string> exampleJobs()
{
    return {R"({"found":true,"confirmed":true,"index":4,"job":{"id":"j1","team":"office-1",)"
            R"("state":"running","owner":"entry-1","incarnation":7,"request":"{}"}})",
            R"({"jobs":[{"id":"j1","state":"waiting","owner":"","incarnation":0}]})",
            R"({"body":"{\"model\":\"chat\",\"prompt\":\"x\"}","chat":false,"urgency":"batch"})"};
}

std::vector<std::string> exampleEngineEvents()
{
    return {R"({"type":"load","ageMs":200,"running":3,"waiting":1,"queuedPromptTokens":20000,)"
            R"("usedKvTokens":150000})",
            R"({"type":"cache","epoch":3,"sequence":4,"added":[1,2],"removed":[3]})"};
}

std::vector<std::string> exampleRecords()
{
    return {"schema: 2\nkind: route\nname: chat\nversion: 1\nspec:\n  model: saga\n"
            "  urgency: urgent\n  deadlineMs: 30000\n  deadlinesMs:\n    batch: 120000\n",
            "schema: 1\nkind: team\nname: a\nversion: 3\nspec: {weight: 4}\n---\n"
            "schema: 1\nkind: route\nname: b\nversion: 1\nspec: {service: s, mayRepeat: false}\n"};
}

std::vector<Target> makeTargets()
{
    return {{"records-yaml", recordsHold, exampleRecords()},
            {"record-json",
             recordJsonHolds,
             {R"({"schema":1,"kind":"team","name":"a","version":1,"spec":{"weight":1}})"}},
            {"sse", sseHolds, {"data: {\"a\":1}\n\ndata: [DONE]\n\n", ": note\r\ndata: x\r\n\r\n"}},
            {"announcement", announcementHolds, {exampleAnnouncement()}},
            {"gossip", gossipHolds, {exampleGossip()}},
            {"ledger-command", commandHolds, {exampleCommand(), exampleClaim()}},
            {"ledger-snapshot", snapshotHolds, {exampleSnapshot()}},
            {"log-segment", segmentHolds, {exampleSegment()}},
            {"log-message", wireHolds, {exampleWire()}},
            {"engine-event", engineEventHolds, exampleEngineEvents()},
            {"put-reply", putReplyHolds, {examplePutReply()}},
            {"status-reply", statusReplyHolds, {exampleStatus()}},
            {"envelope", envelopeHolds, {exampleEnvelope()}},
            {"job-answer", jobAnswerHolds, exampleJobs()},
            {"completion",
             completionHolds,
             {R"({"model":"chat","prompt":"x","max_tokens":4,"stream":true})",
              R"({"model":"chat","messages":[{"role":"user","content":"x"}]})"}}};
}

} // namespace

const std::vector<Target> &targets()
{
    static const std::vector<Target> all = [] {
        std::vector<Target> targets = makeTargets();
        for (Target &target : platformTargets())
            targets.push_back(std::move(target));
        return targets;
    }();
    return all;
}

} // namespace hyssop::fuzz
