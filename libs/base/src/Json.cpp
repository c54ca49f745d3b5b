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

} // namespace hyssop::base
