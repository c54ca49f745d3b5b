#pragma once

#include "ledger/Ledger.h"

#include <nlohmann/json.hpp>

namespace hyssop::ledger {

nlohmann::json toJson(const Owner &owner);
Owner ownerFromJson(const nlohmann::json &json);
nlohmann::json toJson(const std::optional<Answer> &answer);
std::optional<Answer> answerFromJson(const nlohmann::json &json);
nlohmann::json toJson(const Reply &reply);
Reply replyFromJson(const nlohmann::json &json);
std::string toBytes(const nlohmann::json &json);

} // namespace hyssop::ledger
