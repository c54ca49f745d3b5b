#pragma once

#include "http/Http.h"

namespace hyssop::standins {

/// What follows \a prefix and a slash, or nothing.
std::string restOf(const std::string &path, std::string_view prefix);

/// Owner that a listing asks for. Owners hold a slash, which callers may send encoded or not.
std::string ownerOf(const http::Request &request);

/// A host's name without an incarnation stands for all of its incarnations.
bool isOwnedBy(const std::string &owner, const std::string &wanted);

} // namespace hyssop::standins
