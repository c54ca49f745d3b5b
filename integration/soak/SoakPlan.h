#pragma once

#include "base/Base.h"

#include <string>
#include <vector>

namespace hyssop::soak {

enum class Fault {
    KillEntry,
    KillControl,
    KillEngine,
    KillService,
    StopEntry,
    StopControl,
    StopEngine,
    StopService,
    FreezeEntry,
    FreezeControl,
    FreezeEngine,
    CutOff, ///< Of a data centre, in both directions.
    Silence, ///< Of a data centre: what it sends is lost, what it is sent arrives.
    SlowLinks, ///< Round a data centre.
    CutUpstream, ///< Between an upstream and the entry hosts.
    ResetUpstream, ///< Every connection to an upstream.
};

std::string_view faultName(Fault fault);

/// One fault: when it begins, whom it meets and how long it lasts.
struct FaultStep
{
    base::Millis at{0}; ///< Since the start of its round.
    Fault fault = Fault::KillEntry;
    std::string target; ///< Host or data centre.
    base::Millis duration{0};

    std::string text() const;
};

struct Targets
{
    std::vector<std::string> entries;
    std::vector<std::string> controls;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    std::vector<std::string> upstreams; ///< Both.
    std::vector<std::string> dataCentres;
};

/// Draws the faults of one round of that length. Every kind comes before one comes again; the
/// planned stops of an upstream and of an entry come first, so that a short round has both.
std::vector<FaultStep> drawFaults(base::Rng &rng, const Targets &targets, base::Millis length);

} // namespace hyssop::soak
