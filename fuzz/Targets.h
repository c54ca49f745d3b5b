#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hyssop::fuzz {

/// A parser of bytes from outside: what is fed to it and well-formed examples to start from.
struct Target
{
    std::string name;
    /// Feeds the parser; false when a property that must hold for every input does not.
    bool (*holds)(std::string_view bytes);
    std::vector<std::string> examples;
};

const std::vector<Target> &targets();

} // namespace hyssop::fuzz
