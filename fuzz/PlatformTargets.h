#pragma once

#include "Targets.h"

namespace hyssop::fuzz {

/// Parsers of the users' platform and of the messages between its programs.
std::vector<Target> platformTargets();

} // namespace hyssop::fuzz
