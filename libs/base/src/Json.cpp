#include "base/Base.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::base {

namespace {

/// Arrays and objects within each other that are read.
constexpr int kMaxJsonDepth = 64;

/// Whether a text may hold more levels than parseJson() reads; texts are written out by recursion,
/// so an unbounded one would exhaust the stack.
bool isTooDeep(std::string_view text)
{
    const auto opened =
            std::count(text.begin(), text.end(), '[') + std::count(text.begin(), text.end(), '{');
    if (opened <= kMaxJsonDepth)
        return false;
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString && c == '\\')
            ++i;
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '[' || c == '{') && ++depth > kMaxJsonDepth)
            return true;
        else if (!isInString && (c == ']' || c == '}'))
            --depth;
    }
    return false;
}

} // namespace

std::optional<nlohmann::json> parseJson(std::string_view text)
{
    if (isTooDeep(text))
        return std::nullopt;
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
