#include "Runner.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::bench {

namespace {

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kMaxOpen = 8'192;
/// Beyond the deadline asked for, before a request counts as never answered.
constexpr base::Millis kGrace{10'000};
/// Share of a prompt that it has in common with others of its seed.
constexpr double kSharedPart = 0.5;

std::string makePrompt(const PlannedRequest &request, std::size_t index)
{
    const auto bytes = static_cast<std::size_t>(request.prompt.count() * kBytesPerToken);
    const auto shared = static_cast<std::size_t>(static_cast<double>(bytes) * kSharedPart);
    const std::string common = fmt::format("{} {} ", request.route, request.promptSeed);
    const std::string own = fmt::format("{} {} ", request.team, index);
    std::string prompt;
    prompt.reserve(bytes);
    while (prompt.size() < shared)
        prompt += common;
    prompt.resize(shared);
    while (prompt.size() < bytes)
        prompt += own;
    prompt.resize(bytes);
    return prompt;
}

/// The text that the stand-in engine makes for a prompt.
std::string expectedText(const std::string &prompt, std::int64_t tokens)
{
    const std::string seed = base::sha256Hex(prompt).substr(0, 8);
    std::string text;
    for (std::int64_t n = 0; n < tokens; ++n)
        text += fmt::format("{}.{} ", seed, n);
    return text;
}

base::Micros since(base::TimePoint start, base::TimePoint now)
{
    return std::chrono::duration_cast<base::Micros>(now - start);
}

void readError(const std::string &body, Sample &sample)
{
    const auto json = base::parseJson(body);
    if (!json || !json->is_object() || !json->contains("error"))
        return;
    const auto &error = json->at("error");
    sample.code = error.value("code", "");
    const std::string outcome = error.value("outcome", "");
    sample.ending = Ending::Unknown;
    if (outcome == "not_run")
        sample.ending = Ending::NotRun;
    else if (outcome == "failed")
        sample.ending = Ending::Failed;
}

} // namespace

std::string_view endingName(Ending ending)
{
    switch (ending) {
    case Ending::Answered:
        return "answered";
    case Ending::NotRun:
        return "not_run";
    case Ending::Failed:
        return "failed";
    case Ending::Unknown:
        return "unknown";
    case Ending::BadAnswer:
        return "bad_answer";
    case Ending::NoAnswer:
        return "no_answer";
    }
    return "?";
}

bool isAsExpected(const Sample &sample)
{
    const std::vector<std::string> &expected = sample.request.expected;
    if (expected.empty())
        return sample.ending != Ending::NoAnswer && sample.ending != Ending::BadAnswer;
    const auto matches = [&](const std::string &it) {
        return it == endingName(sample.ending) || it == sample.code;
    };
    return std::any_of(expected.begin(), expected.end(), matches);
}

Runner::Runner(std::vector<PlannedRequest> plan, RunOptions options)
    : m_plan(std::move(plan))
    , m_options(std::move(options))
{ }

tl::expected<std::vector<Sample>, http::LoopError> Runner::run()
{
    auto loop = http::Loop::create(kMaxOpen);
    if (!loop)
        return tl::unexpected(loop.error());
    m_loop = *std::move(loop);
    m_samples.resize(m_plan.size());
    for (std::size_t i = 0; i < m_plan.size(); ++i)
        m_loop->after(m_plan[i].at, [this, i] { send(i); });
    if (!m_plan.empty())
        m_loop->run();
    m_loop.reset();
    return std::move(m_samples);
}

void Runner::send(std::size_t index)
{
    const PlannedRequest &request = m_plan[index];
    m_samples[index].request = request;
    const base::Millis deadline =
            request.deadline.count() > 0 ? request.deadline : m_options.deadline;
    http::Call call;
    call.to = m_options.entries[index % m_options.entries.size()];
    call.method = http::Method::Post;
    call.headers = {{"content-type", "application/json"},
                    {"x-team", request.team},
                    {"x-urgency", std::string(urgencyName(request.urgency))},
                    {"x-deadline-ms", std::to_string(deadline.count())}};
    call.timeout = deadline + kGrace;
    if (request.target == Target::Service) {
        call.path = "/v1/services/" + request.route + "/check";
        call.headers.push_back({"idempotency-key", request.key});
        call.body = nlohmann::json{{"key", request.key}, {"variant", request.variant}}.dump();
    } else {
        call.path = "/v1/completions";
        call.body = nlohmann::json{
                {"model", request.route},
                {"prompt", makePrompt(request, index)},
                {"max_tokens", request.maxTokens},
                {"stream",
                 true}}.dump();
    }
    Open open;
    open.index = index;
    open.sent = base::monotonicNow();
    m_open.emplace(m_loop->call(std::move(call), this), std::move(open));
}

void Runner::onHead(http::CallId id, int status, const http::Headers &)
{
    m_samples[m_open.at(id).index].status = status;
}

void Runner::onData(http::CallId id, std::string_view data)
{
    Open &open = m_open.at(id);
    open.body += data;
    const Sample &sample = m_samples[open.index];
    if (sample.status != 200 || sample.request.target == Target::Service)
        return;
    for (;;) {
        const auto end = open.body.find("\n\n", open.parsed);
        if (end == std::string::npos)
            return;
        const std::string_view line =
                std::string_view(open.body).substr(open.parsed, end - open.parsed);
        if (line.starts_with("data: "))
            onEvent(open, line.substr(6));
        open.parsed = end + 2;
    }
}

void Runner::onEvent(Open &open, std::string_view event)
{
    if (event == "[DONE]") {
        open.isDone = true;
        return;
    }
    const auto json = base::parseJson(event);
    if (!json || !json->is_object())
        return;
    if (json->contains("error")) {
        open.errorText = event;
        return;
    }
    const base::TimePoint now = base::monotonicNow();
    Sample &sample = m_samples[open.index];
    if (!sample.firstToken)
        sample.firstToken = since(open.sent, now);
    if (open.lastEvent)
        sample.gaps.push_back(since(*open.lastEvent, now));
    open.lastEvent = now;
    open.text += json->at("choices").at(0).value("text", "");
}

void Runner::onDone(http::CallId id)
{
    Open &open = m_open.at(id);
    Sample &sample = m_samples[open.index];
    if (sample.status != 200) {
        readError(open.body, sample);
    } else if (sample.request.target == Target::Service) {
        sample.firstToken = since(open.sent, base::monotonicNow());
        const auto json = base::parseJson(open.body);
        const bool isOwn =
                json && json->is_object() && json->value("key", "") == sample.request.key;
        sample.ending = isOwn ? Ending::Answered : Ending::BadAnswer;
    } else if (!open.errorText.empty()) {
        readError(open.errorText, sample);
    } else if (open.isDone) {
        const std::string expected =
                expectedText(makePrompt(sample.request, open.index), sample.request.maxTokens);
        sample.ending = open.text == expected ? Ending::Answered : Ending::BadAnswer;
    }
    finish(id);
}

void Runner::onFailed(http::CallId id, const http::CallError &error)
{
    m_samples[m_open.at(id).index].code = http::callFailureName(error.failure);
    finish(id);
}

void Runner::finish(http::CallId id)
{
    const auto it = m_open.find(id);
    m_samples[it->second.index].total = since(it->second.sent, base::monotonicNow());
    m_open.erase(it);
    if (++m_ended == m_plan.size())
        m_loop->stop();
}

} // namespace hyssop::bench
