#pragma once

#include "http/Http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace hyssop::harness {

/// Answer of a call as far as it has come.
struct Answer
{
    int status = 0; ///< 0 until the head has come.
    http::Headers headers;
    std::string body;
    bool isDone = false; ///< Ended as its framing says.
    std::optional<http::CallError> error;
    base::TimePoint ended; ///< When it was done or failed.

    bool hasEnded() const { return isDone || error; }
    /// The body as JSON; null when it is not.
    nlohmann::json json() const;
};

/// A call in flight. Every wait is bounded by the call's own time limit.
class Pending
{
public:
    /// Waits for the end of the answer.
    Answer wait() const;
    /// Waits until the body holds \a part or the call ends.
    Answer waitForBody(std::string_view part) const;
    Answer now() const;

private:
    friend class Client;
    struct State
    {
        std::mutex mutex;
        std::condition_variable changed;
        Answer answer;
        http::CallId call;
    };
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

/// HTTP client on a thread of its own; calls may be started from any thread.
class Client final : private http::CallHandler
{
public:
    Client();
    ~Client() override;
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    Pending start(http::Call call);
    /// Closes the call's connection without waiting for its answer.
    void drop(const Pending &pending);
    Answer get(const base::Endpoint &to, const std::string &path);

private:
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;
    template <typename Change>
    void change(http::CallId id, const Change &change);

    std::unique_ptr<http::Loop> m_loop;
    std::map<http::CallId, std::shared_ptr<Pending::State>> m_calls;
    std::thread m_thread;
};

} // namespace hyssop::harness
