/// Storage and transfer of the source texts of configurations.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hyssop::fleet {

/// Compresses a source text for storage and transfer. Control hosts send every text to all entry
/// hosts within the time limit for configuration changes, so its size matters.
std::string compressText(std::string_view text);
/// Decompresses a source text; one that was stored uncompressed is returned as it is. Returns
/// nothing if \a packed is damaged or the text exceeds the accepted size.
std::optional<std::string> decompressText(std::string_view packed);

/// Encodes how \a target differs from \a base, both texts of configurations. Its size depends on
/// the difference only, in whole elements of their lists.
std::string makeDelta(std::string_view base, std::string_view target);
/// Returns the target of a delta, or nothing if the delta is damaged or was made for another base.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta);

} // namespace hyssop::fleet
