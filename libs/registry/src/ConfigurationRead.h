#pragma once

#include "fleet/Fleet.h"
#include "ledger/Ledger.h"

#include <nlohmann/json.hpp>

namespace hyssop::registry {

/// Messages between control hosts.
inline std::string encodeConfiguration(
        const std::optional<ledger::StoredConfiguration> &configuration)
{
    if (!configuration)
        return base::toCbor({0, ""});
    return base::toCbor({configuration->version, configuration->text});
}

inline std::optional<ledger::StoredConfiguration> decodeConfiguration(const std::string &bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    try {
        return ledger::StoredConfiguration{parsed->at(0), parsed->at(1), {}};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/// Restores the text that the operator sent; empty when it is damaged.
inline std::optional<ledger::StoredConfiguration> withUnpackedText(
        std::optional<ledger::StoredConfiguration> configuration)
{
    if (!configuration)
        return std::nullopt;
    auto text = fleet::decompressText(configuration->text);
    if (!text) {
        base::logEvent("configuration_unreadable",
                       {{"version", configuration->version}, {"reason", "damaged"}});
        return std::nullopt;
    }
    configuration->text = *std::move(text);
    return configuration;
}

} // namespace hyssop::registry
