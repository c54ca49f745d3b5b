#include "Owners.h"

namespace hyssop::standins {

std::string restOf(const std::string &path, std::string_view prefix)
{
    return path.size() > prefix.size() + 1 ? path.substr(prefix.size() + 1) : std::string();
}

std::string ownerOf(const http::Request &request)
{
    std::string owner = request.queryValue("owner");
    if (const auto at = owner.find("%2F"); at != std::string::npos)
        owner.replace(at, 3, "/");
    return owner;
}

bool isOwnedBy(const std::string &owner, const std::string &wanted)
{
    return owner == wanted || owner.starts_with(wanted + "/");
}

} // namespace hyssop::standins
