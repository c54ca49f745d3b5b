#pragma once

#include "ledger/Ledger.h"

#include <nlohmann/json.hpp>

namespace hyssop::ledger {

// JSON forms shared by the log encoding and the snapshots. The *FromJson functions throw
// nlohmann::json::exception on a missing field or a wrong type.
nlohmann::json toJson(const Owner &owner);
Owner ownerFromJson(const nlohmann::json &json);
nlohmann::json toJson(const std::optional<Answer> &answer);
std::optional<Answer> answerFromJson(const nlohmann::json &json);
nlohmann::json toJson(const Reply &reply);
Reply replyFromJson(const nlohmann::json &json);
/// Serializes a JSON value as CBOR.
std::string toBytes(const nlohmann::json &json);

} // namespace hyssop::ledger
