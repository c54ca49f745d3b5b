#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace hyssop::standins {

/// Text of a field, or empty.
inline std::string textOf(const nlohmann::json &body, const char *field)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Whole number of a field, or \a fallback.
inline std::int64_t numberOf(const nlohmann::json &body, const char *field, std::int64_t fallback)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_number_integer() ? it->get<std::int64_t>() : fallback;
}

/// Body of an error answer.
inline std::string errorBody(const std::string &code, const std::string &outcome)
{
    return nlohmann::json{{"error", {{"code", code}, {"outcome", outcome}}}}.dump();
}

} // namespace hyssop::standins
