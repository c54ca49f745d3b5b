#include "upstream/Upstream.h"

#include <xxhash.h>

namespace hyssop::upstream {

namespace {

/// Mean number of bytes per token in prose.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;

} // namespace

base::Tokens estimateTokens(std::string_view prompt)
{
    const auto bytes = static_cast<std::int64_t>(prompt.size());
    return base::Tokens((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    while (prompt.size() >= kBlockBytes) {
        hash = XXH64(prompt.data(), kBlockBytes, hash);
        hashes.push_back(hash);
        prompt.remove_prefix(kBlockBytes);
    }
    return hashes;
}

std::string OwnerId::text() const
{
    return host.text() + "/" + std::to_string(incarnation.count());
}

} // namespace hyssop::upstream
