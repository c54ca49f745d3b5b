#pragma once

#include "ledger/Ledger.h"

namespace hyssop::registry {

/// Messages with the configuration in force, between control hosts.
std::string encodeConfiguration(const std::optional<ledger::StoredConfiguration> &configuration);
std::optional<ledger::StoredConfiguration> decodeConfiguration(const std::string &bytes);
/// Restores the text that the operator sent; empty when it is damaged.
std::optional<ledger::StoredConfiguration> withUnpackedText(
        std::optional<ledger::StoredConfiguration> configuration);

} // namespace hyssop::registry
