#include "Targets.h"

#include "base/Base.h"

#include <catch2/catch.hpp>

using namespace hyssop;

namespace {

constexpr std::uint64_t kSeed = 20261203;
constexpr int kInputsPerExample = 1'000;
constexpr int kMaxChanges = 6;

std::size_t below(base::Rng &rng, std::size_t n)
{
    return static_cast<std::size_t>(rng() % n);
}

/// One change of the kind that finds faults in parsers.
void change(std::string &bytes, base::Rng &rng)
{
    if (bytes.empty())
        bytes.push_back('x');
    const std::size_t at = below(rng, bytes.size());
    switch (rng() % 6) {
    case 0:
        bytes[at] = static_cast<char>(rng());
        break;
    case 1:
        bytes.erase(at, 1 + below(rng, 8));
        break;
    case 2:
        bytes.insert(at, 1, static_cast<char>(rng()));
        break;
    case 3:
        bytes.insert(at, bytes.substr(below(rng, bytes.size()), 1 + below(rng, 32)));
        break;
    case 4:
        bytes[at] = "\0\xff{}[]\":,-0919eE\n\r\\"[below(rng, 20)];
        break;
    default:
        bytes.resize(at);
        break;
    }
}

std::string shown(std::string_view bytes)
{
    std::string text;
    for (const char c : bytes)
        text += c >= ' ' && c <= '~' ? std::string(1, c)
                                     : "\\" + std::to_string(static_cast<unsigned char>(c));
    return text;
}

} // namespace

TEST_CASE("every parser of outside bytes holds its properties on changed inputs")
{
    WARN("seed " << kSeed);
    for (const fuzz::Target &target : fuzz::targets()) {
        base::Rng rng(kSeed);
        for (const std::string &example : target.examples) {
            INFO(target.name);
            REQUIRE(target.holds(example));
            for (int i = 0; i < kInputsPerExample; ++i) {
                std::string bytes = example;
                for (std::size_t n = 1 + below(rng, kMaxChanges); n > 0; --n)
                    change(bytes, rng);
                const bool holds = target.holds(bytes);
                INFO(shown(bytes));
                REQUIRE(holds);
            }
        }
    }
}
