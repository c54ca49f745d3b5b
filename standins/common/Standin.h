#pragma once

#include "Announcer.h"

namespace hyssop::standins {

/// A stand-in's server, which can be emptied before it ends.
class StandinServer : public http::ServerHandler
{
public:
    /// New work is refused from here on.
    virtual void refuseNewWork() = 0;
    /// Whether no work is in flight.
    virtual bool isIdle() const = 0;
};

/// Adds the settings that the functions below read.
void addStandinSettings(base::SettingsBuilder &builder);

/// Start numbers rise from one start to the next.
base::Incarnation freshIncarnation();

/// What every stand-in announces; the caller adds what it serves.
membership::Announcement announcementFrom(const base::Settings &settings,
                                          base::Incarnation incarnation,
                                          const base::Endpoint &address);

/// Serves until the stop signal; then announces the leaving, refuses new work after the notice and
/// ends once \a server is idle, within the limit.
void serveUntilStopped(http::Loop *loop, Announcer *announcer, StandinServer *server,
                       const base::Settings &settings);

} // namespace hyssop::standins
