#include "fleet/Fleet.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace hyssop::fleet {

Fingerprint fingerprintOf(const base::ServiceId &service,
                          std::initializer_list<std::string_view> content)
{
    // Each hash is the seed of the next one, so that texts cannot run into each other.
    std::uint64_t hash = XXH64(service.text().data(), service.text().size(), 0);
    for (const std::string_view it : content)
        hash = XXH64(it.data(), it.size(), hash);
    return Fingerprint(static_cast<std::int64_t>(hash));
}

std::string fingerprintText(Fingerprint fingerprint)
{
    return fmt::format("{:016x}", static_cast<std::uint64_t>(fingerprint.count()));
}

} // namespace hyssop::fleet
