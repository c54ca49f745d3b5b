#include "upstream/Upstream.h"

#include <xxhash.h>

namespace hyssop::upstream {

namespace {

/// Mean bytes of a token of prose.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;

} // namespace

base::Tokens countTokens(std::string_view prompt)
{
    const auto bytes = static_cast<std::int64_t>(prompt.size());
    return base::Tokens((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = 0;
    while (prompt.size() >= kBlockBytes) {
        chain = XXH64(prompt.data(), kBlockBytes, chain);
        blocks.push_back(chain);
        prompt.remove_prefix(kBlockBytes);
    }
    return blocks;
}

std::string OwnerName::text() const
{
    return host.text() + "/" + std::to_string(incarnation.count());
}

} // namespace hyssop::upstream
