#include "Owners.h"

namespace hyssop::standins {

namespace {

constexpr std::string_view kEncodedSlash = "%2F";

} // namespace

std::string restOf(const std::string &path, std::string_view prefix)
{
    return path.size() > prefix.size() + 1 ? path.substr(prefix.size() + 1) : std::string();
}

std::string ownerOf(const http::Request &request)
{
    const std::string owner = request.queryValue("owner");
    const auto at = owner.find(kEncodedSlash);
    if (at == std::string::npos)
        return owner;
    return owner.substr(0, at) + '/' + owner.substr(at + kEncodedSlash.size());
}

bool isOwnedBy(const std::string &owner, const std::string &wanted)
{
    return owner == wanted || owner.starts_with(wanted + "/");
}

} // namespace hyssop::standins
