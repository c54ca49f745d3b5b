/// What surrounds a process: readiness, liveness, metrics and signals.
#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hyssop::process {

using Labels = std::map<std::string, std::string>;

/// Counters, gauges and histograms, made when first used. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(const std::string &name, const Labels &labels = {}, double by = 1);
    void set(const std::string &name, double value, const Labels &labels = {});
    /// Observes seconds in buckets from 5 ms to 10 minutes.
    void observeSeconds(const std::string &name, double seconds, const Labels &labels = {});
    /// Text in the Prometheus exposition format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Why the address for the platform could not be served.
struct ListenError
{
    std::string message;
};

/// Serves /ready, /live, /metrics and pages of JSON.
class Server final : public http::ServerHandler
{
public:
    /// \a refresh brings gauges up to date before each reading of the metrics.
    Server(http::Loop *loop, Metrics *metrics, std::function<void()> refresh = {});

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);
    /// Serves the JSON that \a render makes at each reading.
    void addPage(const std::string &path, std::function<std::string()> render);
    /// Not ready: the balancer is to send no new work.
    void setReady(bool isReady) { m_isReady = isReady; }
    bool isReady() const { return m_isReady; }
    /// Gives a note for the body of /ready, of lines of text; the status does not follow it.
    void setNote(std::function<std::string()> note) { m_note = std::move(note); }

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *m_loop;
    Metrics *m_metrics;
    std::function<void()> m_refresh;
    std::map<std::string, std::function<std::string()>> m_pages;
    std::function<std::string()> m_note;
    bool m_isReady = false;
};

/// Holds SIGTERM and SIGINT back from every thread started later; call first in main().
void blockStopSignals();
/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();
/// Ends waitForStopSignal() from within the process.
void requestStop();
/// Calls \a run on a thread of its own and \a stop on this one at the stop signal; returns once
/// \a run has, which \a stop is to bring about.
void runUntilStopped(const std::function<void()> &run, const std::function<void()> &stop);

/// As blockStopSignals(), and holds SIGHUP back as well.
void blockSignals();

/// As blockStopSignals() and blockSignals(), for the section .preinit_array of a program: it runs
/// before all constructors and main(). A signal that came before main() would end the program.
/// Uses no function that may need initialization, such as those that sanitizers intercept.
void blockStopSignalsEarly() noexcept;
void blockSignalsEarly() noexcept;
/// As runUntilStopped(), and calls \a reload on this thread at each SIGHUP.
void runWithSignals(const std::function<void()> &run, const std::function<void()> &reload,
                    const std::function<void()> &stop);

} // namespace hyssop::process
