#pragma once

#include "http/Http.h"

#include <functional>
#include <optional>

namespace hyssop::standins {

/// Loads weights: asks the weight store, which may refuse for its rate limit, then takes time.
class WeightLoader final : private http::CallHandler
{
public:
    WeightLoader(http::Loop *loop, std::optional<base::Endpoint> store, base::Millis loadTime)
        : m_loop(loop)
        , m_store(std::move(store))
        , m_loadTime(loadTime)
    { }

    bool isLoading() const { return static_cast<bool>(m_onLoaded); }
    std::int64_t refusedByStore() const { return m_refused; }
    /// Calls \a onLoaded once the weights are there. One load at a time.
    void load(const std::string &name, std::function<void()> onLoaded)
    {
        m_name = name;
        m_onLoaded = std::move(onLoaded);
        ask();
    }

private:
    static constexpr base::Millis kRetry{250};

    void ask()
    {
        if (!m_store) {
            read();
            return;
        }
        http::Call call;
        call.to = *m_store;
        call.method = http::Method::Post;
        call.path = "/weights";
        call.headers = {{"content-type", "application/json"}, {"idempotency-key", m_name}};
        call.body = "{}";
        m_loop->call(std::move(call), this);
    }
    void read()
    {
        m_loop->after(m_loadTime, [this] { std::exchange(m_onLoaded, {})(); });
    }
    void askAgain()
    {
        ++m_refused;
        m_loop->after(kRetry, [this] { ask(); });
    }
    void onHead(http::CallId, int status, const http::Headers &) override { m_status = status; }
    void onData(http::CallId, std::string_view) override { }
    void onDone(http::CallId) override
    {
        if (m_status == 200)
            read();
        else
            askAgain();
    }
    void onFailed(http::CallId, const http::CallError &) override { askAgain(); }

    http::Loop *m_loop;
    std::optional<base::Endpoint> m_store;
    base::Millis m_loadTime;
    std::string m_name;
    std::function<void()> m_onLoaded;
    int m_status = 0;
    std::int64_t m_refused = 0;
};

} // namespace hyssop::standins
