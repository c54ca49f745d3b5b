#pragma once

#include "base/Base.h"
#include "operators/Operators.h"

#include <filesystem>

namespace hyssop::ctl {

/// Exit codes of hyssopctl.
enum ExitCode {
    ExitDone = 0,
    ExitFailed = 1,
    ExitBadUse = base::kExitBadSettings,
    ExitConflict = 3,
    ExitNotInForce = 4, ///< Accepted, but not in force everywhere within the wait.
};

struct ApplyOptions
{
    bool waits = false;
    base::Millis wait{18'000};
    std::string changePrefix; ///< Makes a resend of the same apply recognisable; empty: drawn.
};

int validate(const std::filesystem::path &folder);
int diff(operators::Client &client, const std::filesystem::path &folder);
int apply(operators::Client &client, const std::filesystem::path &folder,
          const ApplyOptions &options);
int get(operators::Client &client);
int status(operators::Client &client);

} // namespace hyssop::ctl
