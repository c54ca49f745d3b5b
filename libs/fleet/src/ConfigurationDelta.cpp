#include "fleet/Fleet.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <unordered_map>

namespace hyssop::fleet {

using nlohmann::json;

namespace {

/// Limit on the text that a delta may build, as a damaged one could name any size.
constexpr std::size_t kMaxTextBytes = std::size_t(64) << 20;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/// Splits a text after each element of a list of objects. Other texts become one piece.
std::vector<std::string_view> splitPieces(std::string_view text)
{
    constexpr std::string_view kSeparator = "},";
    std::vector<std::string_view> pieces;
    while (!text.empty()) {
        const auto end = text.find(kSeparator);
        const auto size = end == std::string_view::npos ? text.size() : end + kSeparator.size();
        pieces.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return pieces;
}

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (const std::string_view piece : splitPieces(base))
        offsets.try_emplace(piece, static_cast<std::size_t>(piece.data() - base.data()));
    // A step is a range of the base, [OFFSET, SIZE], or new text.
    json steps = json::array();
    std::size_t copyEnd = 0;
    std::string added;
    const auto flushAdded = [&] {
        if (!added.empty())
            steps.push_back(json::binary({added.begin(), added.end()}));
        added.clear();
    };
    for (const std::string_view piece : splitPieces(target)) {
        const bool isCopying = !steps.empty() && steps.back().is_array() && added.empty();
        if (isCopying && base.substr(std::min(copyEnd, base.size()), piece.size()) == piece) {
            steps.back()[1] = steps.back()[1].get<std::size_t>() + piece.size();
            copyEnd += piece.size();
            continue;
        }
        const auto found = offsets.find(piece);
        if (found == offsets.end()) {
            added += piece;
            continue;
        }
        flushAdded();
        steps.push_back(json::array({found->second, piece.size()}));
        copyEnd = found->second + piece.size();
    }
    flushAdded();
    return compressText(base::toCbor(json::array({hashOf(target), std::move(steps)})));
}

std::optional<std::string> applyDelta(std::string_view base, std::string_view delta)
{
    const auto bytes = decompressText(delta);
    const auto parsed = bytes ? base::parseCbor(*bytes) : std::nullopt;
    if (!parsed)
        return std::nullopt;
    std::string text;
    try {
        for (const json &step : parsed->at(1)) {
            if (step.is_binary()) {
                const auto &added = step.get_binary();
                text.append(added.begin(), added.end());
            } else {
                const auto offset = step.at(0).get<std::size_t>();
                const auto size = step.at(1).get<std::size_t>();
                if (offset > base.size() || size > base.size() - offset)
                    return std::nullopt;
                text += base.substr(offset, size);
            }
            if (text.size() > kMaxTextBytes)
                return std::nullopt;
        }
        if (parsed->at(0).get<std::uint64_t>() != hashOf(text))
            return std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return text;
}

} // namespace hyssop::fleet
