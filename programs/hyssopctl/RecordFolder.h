#pragma once

#include "records/Records.h"

#include <filesystem>

namespace hyssop::ctl {

/// Reads every .yaml file below \a folder, in order of path. \a warnings receives fields that look
/// misspelt.
tl::expected<std::vector<records::Record>, std::vector<records::RecordError>> readFolder(
        const std::filesystem::path &folder, std::vector<records::RecordError> *warnings);

} // namespace hyssop::ctl
