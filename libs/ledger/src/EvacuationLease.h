#pragma once

#include "ledger/Ledger.h"

namespace hyssop::ledger {

/// The lease that stores \a command.
TakeLease toLease(const SetEvacuation &command);
/// What a lease stores of an evacuation. Nothing if it is another lease.
std::optional<SetEvacuation> toEvacuation(const std::string &name, const Owner &owner);

} // namespace hyssop::ledger
