#pragma once

#include "http/Http.h"
#include "Plan.h"

#include <map>
#include <optional>

namespace hyssop::bench {

/// How a request ended, as its caller saw it.
enum class Ending {
    Answered,
    NotRun,
    Failed,
    Unknown,
    BadAnswer, ///< Not the whole answer to the own request.
    NoAnswer, ///< The connection gave no final answer within the bound.
};

std::string_view endingName(Ending ending);

struct Sample
{
    PlannedRequest request;
    Ending ending = Ending::NoAnswer;
    std::string code; ///< Reason code of an error.
    int status = 0;
    std::optional<base::Micros> firstToken;
    base::Micros total{0};
    std::vector<base::Micros> gaps; ///< Between events of the stream.
};

struct RunOptions
{
    std::vector<base::Endpoint> entries; ///< Taken in turn.
    base::Millis deadline{120'000}; ///< Asked for on each request.
};

/// Whether a sample ended as its request's trace allows.
bool isAsExpected(const Sample &sample);

/// Sends a plan open-loop and collects a sample of each request.
class Runner final : private http::CallHandler
{
public:
    Runner(std::vector<PlannedRequest> plan, RunOptions options);

    /// Blocks until every request has ended.
    tl::expected<std::vector<Sample>, http::LoopError> run();

private:
    struct Open
    {
        std::size_t index = 0;
        base::TimePoint sent;
        std::optional<base::TimePoint> lastEvent;
        std::string body;
        std::size_t parsed = 0;
        bool isDone = false;
        std::string text;
        std::string errorText;
    };

    void send(std::size_t index);
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;
    void onEvent(Open &open, std::string_view event);
    void finish(http::CallId id);

    std::vector<PlannedRequest> m_plan;
    RunOptions m_options;
    std::unique_ptr<http::Loop> m_loop;
    std::vector<Sample> m_samples;
    std::map<http::CallId, Open> m_open;
    std::size_t m_ended = 0;
};

} // namespace hyssop::bench
