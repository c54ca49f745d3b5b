#pragma once

#include "ControlClient.h"

#include <functional>

namespace hyssop::entry {

/// Makes the start of this host known in the home group and learns of the starts of others there,
/// so that hosts that ended before they reached any other one are reclaimed too.
///
/// Belongs to the entry server's loop.
class StartRegister
{
public:
    struct Hooks
    {
        /// This host may serve: its start is stored, or no control host could store it in time.
        std::function<void()> onSettled;
        std::function<void(const ledger::Owner &)> onHostStarted;
    };

    StartRegister(http::Loop *loop, process::Metrics *metrics, ControlClient *controlClient,
                  ledger::Owner self, base::DataCentreId dataCentre, Hooks hooks);

    /// Without control hosts, the start is settled at once and nothing is learned.
    void start();
    bool isSettled() const { return m_isSettled; }

private:
    void registerStart();
    void settle(std::string_view outcome);
    void poll();
    void onStarted(const ledger::Owner &owner);

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    ControlClient *m_controlClient;
    ledger::Owner m_self;
    base::DataCentreId m_dataCentre;
    Hooks m_hooks;
    base::TimePoint m_startedAt;
    bool m_isSettled = false;
    std::int64_t m_revision = 0; ///< Of the last list of started hosts.
};

} // namespace hyssop::entry
