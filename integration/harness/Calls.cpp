#include "Calls.h"

#include "upstream/Upstream.h"

#include <catch2/catch.hpp>

namespace hyssop::harness {

using nlohmann::json;

namespace {

constexpr base::Millis kCallTimeout{60'000};
constexpr base::Millis kPutTimeout{8'000};
constexpr base::Millis kSettleLimit{30'000};
constexpr std::int64_t kBytesPerToken = 4;

http::Call callTo(const base::Endpoint &to, http::Method method, std::string path)
{
    http::Call call;
    call.to = to;
    call.method = method;
    call.path = std::move(path);
    call.timeout = kCallTimeout;
    call.responseHeaders = {"retry-after", "x-request-id"};
    call.headers = {{"content-type", "application/json"}};
    return call;
}

void readEvent(Completed &completed, std::string_view data)
{
    if (data == "[DONE]") {
        completed.isWhole = true;
        return;
    }
    const json event = base::parseJson(data).value_or(json());
    if (event.contains("error"))
        completed.error = event["error"];
    else if (event.contains("choices"))
        completed.text += event["choices"][0].value("text", "");
}

} // namespace

std::string Completed::code() const
{
    return error.is_object() ? error.value("code", "") : "";
}

std::string Completed::outcome() const
{
    return error.is_object() ? error.value("outcome", "") : "";
}

namespace {

Pending startModelCall(System &system, const Host &entry, const Completion &completion,
                       const std::string &path)
{
    http::Call call = callTo(entry.callers, http::Method::Post, path);
    call.headers.push_back({"x-team", completion.team});
    if (!completion.urgency.empty())
        call.headers.push_back({"x-urgency", completion.urgency});
    if (completion.deadlineMs > 0)
        call.headers.push_back({"x-deadline-ms", std::to_string(completion.deadlineMs)});
    call.body = json{{"model", completion.model},
                     {"prompt", completion.prompt},
                     {"max_tokens", completion.maxTokens},
                     {"stream", completion.wantsStream}}
                        .dump();
    return system.client().start(std::move(call));
}

} // namespace

Pending startCompletion(System &system, const Host &entry, const Completion &completion)
{
    return startModelCall(system, entry, completion, "/v1/completions");
}

Pending startJob(System &system, const Host &entry, const Completion &completion)
{
    return startModelCall(system, entry, completion, "/v1/jobs");
}

Completed readCompletion(const Answer &answer, const Completion &completion)
{
    Completed completed;
    completed.status = answer.status;
    if (completion.wantsStream && answer.status == 200) {
        upstream::SseParser parser;
        parser.feed(answer.body, [&](std::string_view data) { readEvent(completed, data); });
    } else {
        const json body = answer.json();
        if (body.contains("error"))
            completed.error = body["error"];
        else if (body.contains("choices"))
            completed.text = body["choices"][0].value("text", "");
        completed.isWhole = answer.isDone && answer.status == 200 && body.contains("choices");
    }
    completed.isBrokenOff = !completed.isWhole && completed.error.is_null();
    return completed;
}

Completed complete(System &system, const Host &entry, const Completion &completion)
{
    return readCompletion(startCompletion(system, entry, completion).wait(), completion);
}

void checkOwnAnswers(System &system, int callers)
{
    const std::vector<Host *> entries = system.hosts(Role::Entry);
    std::vector<std::pair<Completion, Pending>> calls;
    for (int i = 0; i < callers; ++i) {
        Completion completion;
        completion.wantsStream = i % 2 == 0;
        completion.prompt = "Guest " + std::to_string(i);
        completion.maxTokens = 3 + i % 20;
        const Host &entry = *entries[static_cast<std::size_t>(i) % entries.size()];
        calls.emplace_back(completion, startCompletion(system, entry, completion));
    }
    for (const auto &[completion, pending] : calls) {
        const Completed completed = readCompletion(pending.wait(), completion);
        INFO(completion.prompt << ": " << completed.code());
        CHECK(completed.isWhole);
        CHECK(completed.text == expectedText(completion.prompt, completion.maxTokens));
    }
    for (const Host *engine : system.hosts(Role::Engine))
        CHECK(returnsToFloor(system, *engine, kSettleLimit));
}

std::string expectedText(const std::string &prompt, std::int64_t tokens)
{
    const std::string seed = base::sha256Hex(prompt).substr(0, 8);
    std::string text;
    for (std::int64_t i = 0; i < tokens; ++i)
        text += seed + "." + std::to_string(i) + " ";
    return text;
}

std::string longPrompt(const std::string &name, std::int64_t tokens)
{
    std::string prompt = name;
    // Every block differs, so that no two prompts share a cached prefix.
    while (static_cast<std::int64_t>(prompt.size()) < tokens * kBytesPerToken)
        prompt += " " + name + "-" + std::to_string(prompt.size());
    prompt.resize(static_cast<std::size_t>(tokens * kBytesPerToken));
    return prompt;
}

Pending startBooking(System &system, const Host &entry, const std::string &key,
                     const std::string &body, const std::string &path, std::int64_t deadlineMs)
{
    http::Call call = callTo(entry.callers, http::Method::Post, "/v1/services/booking/" + path);
    call.headers.push_back({"x-team", "office-1"});
    if (deadlineMs > 0)
        call.headers.push_back({"x-deadline-ms", std::to_string(deadlineMs)});
    if (!key.empty())
        call.headers.push_back({"idempotency-key", key});
    call.body = body;
    return system.client().start(std::move(call));
}

Answer askScope(System &system, const Host &entry)
{
    http::Call call = callTo(entry.callers, http::Method::Get, "/v1/scope");
    call.headers.push_back({"x-team", "office-1"});
    return system.client().start(std::move(call)).wait();
}

std::int64_t runsOf(System &system, const Host &service, const std::string &key)
{
    const json runs = system.client().get(service.serves, "/v1/runs").json();
    return runs.contains("runs") ? runs["runs"].value(key, std::int64_t(0)) : -1;
}

std::int64_t totalRuns(System &system, const Host &service)
{
    const json runs = system.client().get(service.serves, "/v1/runs").json();
    return runs.is_object() ? runs.value("total", std::int64_t(-1)) : -1;
}

json engineStats(System &system, const Host &engine)
{
    return system.client().get(engine.serves, "/v1/stats").json();
}

bool returnsToFloor(System &system, const Host &engine, base::Millis limit)
{
    return eventually(limit, [&] {
        const json stats = engineStats(system, engine);
        return stats.is_object() && stats.value("usedKvTokens", -1) == 0
               && stats.value("running", -1) == 0 && stats.value("waiting", -1) == 0;
    });
}

double metric(System &system, const Host &host, std::string_view name, std::string_view label)
{
    return metricSum(system.client().get(host.platform, "/metrics").body, name, label);
}

json route(const std::string &name, std::int64_t version, json spec)
{
    return {{"schema", 1},
            {"kind", "route"},
            {"name", name},
            {"version", version},
            {"spec", std::move(spec)}};
}

json team(const std::string &name, std::int64_t version, json spec)
{
    return {{"schema", 1},
            {"kind", "team"},
            {"name", name},
            {"version", version},
            {"spec", std::move(spec)}};
}

Pending startPut(System &system, const Host &control, const json &record,
                 const std::string &changeId)
{
    const std::string path = "/v1/records/" + record["kind"].get<std::string>() + "/"
                             + record["name"].get<std::string>();
    http::Call call = callTo(control.operators, http::Method::Put, path);
    call.headers.push_back({"x-change-id", changeId});
    call.headers.push_back({"if-match", std::to_string(record["version"].get<std::int64_t>() - 1)});
    call.body = record.dump();
    call.timeout = kPutTimeout;
    return system.client().start(std::move(call));
}

operators::PutReply put(System &system, const json &record, const std::string &changeId)
{
    operators::PutReply reply;
    eventually(kSettleLimit, [&] {
        for (Host *control : system.hosts(Role::Control)) {
            const Answer answer = startPut(system, *control, record, changeId).wait();
            reply = operators::putReplyFromJson(answer.body).value_or(operators::PutReply());
            if (answer.isDone && reply.status != operators::PutStatus::Unavailable
                && reply.status != operators::PutStatus::Unknown)
                return true;
        }
        return false;
    });
    return reply;
}

std::optional<operators::StatusReply> statusOf(System &system, const Host &control)
{
    const Answer answer = system.client().get(control.operators, "/v1/status");
    return answer.status == 200 ? operators::statusFromJson(answer.body) : std::nullopt;
}

std::int64_t appliedAt(System &system, const Host &entry)
{
    return static_cast<std::int64_t>(metric(system, entry, "hyssop_records_index"));
}

void putUsualRecords(System &system)
{
    const std::vector<json> records{
            team("office-1", 1, {{"weight", 4}, {"maxRequests", 5'000}}),
            team("office-2", 1, {{"weight", 1}, {"maxRequests", 5'000}}),
            route("chat", 1, {{"model", "saga"}, {"urgency", "urgent"}, {"deadlineMs", 30'000}}),
            route("archive", 1, {{"model", "saga"}, {"urgency", "batch"}, {"deadlineMs", 50'000}}),
            route("booking", 1,
                  {{"service", "booking"},
                   {"urgency", "urgent"},
                   {"deadlineMs", 10'000},
                   {"mayRepeat", false}})};
    std::int64_t position = 0;
    for (const json &record : records) {
        const operators::PutReply reply =
                put(system, record, "usual-" + record["name"].get<std::string>());
        INFO(record.dump() << " " << reply.message);
        REQUIRE(reply.status == operators::PutStatus::Accepted);
        position = std::max(position, reply.logIndex);
    }
    for (Host *entry : system.hosts(Role::Entry)) {
        INFO(entry->name);
        REQUIRE(eventually(kSettleLimit, [&] { return appliedAt(system, *entry) >= position; }));
    }
}

void bringUp(System &system)
{
    for (Host *control : system.hosts(Role::Control))
        system.awaitReady(*control);
    putUsualRecords(system);
    system.awaitAllReady();
}

} // namespace hyssop::harness
