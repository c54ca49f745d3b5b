#include "base/Base.h"

#include <nlohmann/json.hpp>

namespace hyssop::base {

std::optional<nlohmann::json> parseJson(std::string_view text)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

std::optional<nlohmann::json> parseCbor(std::string_view bytes)
{
    // Lengths beyond what a container can hold are thrown even where errors are not to throw.
    try {
        auto parsed = nlohmann::json::from_cbor(bytes, true, false);
        if (parsed.is_discarded())
            return std::nullopt;
        return parsed;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string toCbor(const nlohmann::json &json)
{
    const std::vector<std::uint8_t> cbor = nlohmann::json::to_cbor(json);
    return {reinterpret_cast<const char *>(cbor.data()), cbor.size()};
}

} // namespace hyssop::base
