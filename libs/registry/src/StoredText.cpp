#include "StoredText.h"

#include "fleet/Fleet.h"

#include <nlohmann/json.hpp>

namespace hyssop::registry {

std::string encodeConfiguration(const std::optional<ledger::StoredConfiguration> &configuration)
{
    if (!configuration)
        return base::toCbor({0, ""});
    return base::toCbor({configuration->version, configuration->text});
}

std::optional<ledger::StoredConfiguration> decodeConfiguration(const std::string &bytes)
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

std::optional<ledger::StoredConfiguration> withUnpackedText(
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
