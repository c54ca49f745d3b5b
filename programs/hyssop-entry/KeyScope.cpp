#include "KeyScope.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

std::string scopeQueryJson(const base::DataCentreId &dataCentre)
{
    return nlohmann::json{{"dataCentre", dataCentre.text()}}.dump();
}

std::optional<std::string> scopeResponse(const base::DataCentreId &dataCentre,
                                         const std::string &answer)
{
    const auto body = base::parseJson(answer);
    if (!body || !body->is_object() || !body->contains("incarnation")
        || !body->at("incarnation").is_string())
        return std::nullopt;
    const auto scope = body->at("incarnation").get<std::string>();
    return nlohmann::json{{"data_centre", dataCentre.text()},
                          {"scope", scope},
                          {"key_prefix", "home." + dataCentre.text() + "." + scope + "."}}
            .dump();
}

} // namespace hyssop::entry
