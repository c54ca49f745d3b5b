// Error of the rate estimator with and without its confidence bound, over drawn samples. Not a
// test.

#include "RateEstimator.h"

#include <fmt/format.h>

#include <cmath>

using namespace hyssop;
using namespace hyssop::routing;

namespace {

constexpr int kSeeds = 200;
constexpr int kSamples = 2'000;
constexpr double kSlowest = 15'000; // tokens a second
constexpr double kFastest = 45'000; // tokens a second

/// How samples scatter and how often the engine's own rate changes.
struct Scene
{
    double spread = 0; ///< Of the logarithm of a sample.
    int samplesPerRate = 0; ///< Samples between changes of the rate.
};

struct Score
{
    double error = 0; ///< Mean of |rate in use / true rate - 1|.
    double changes = 0; ///< Changes of the rate in use for each sample.
};

Score score(const Scene &scene, double confidence, std::uint64_t seed)
{
    base::Rng rng(seed);
    std::normal_distribution<> noise(0, scene.spread);
    std::uniform_real_distribution<> rates(kSlowest, kFastest);
    std::uniform_int_distribution<std::int64_t> work(3'000, 30'000);
    RateEstimator estimator(confidence);
    Score total;
    double rate = rates(rng);
    for (int n = 0; n < kSamples; ++n) {
        if (n % scene.samplesPerRate == 0)
            rate = rates(rng);
        const double before = estimator.rate();
        const std::int64_t tokens = work(rng);
        const double seconds = static_cast<double>(tokens) / rate * std::exp(noise(rng));
        estimator.observe(base::Tokens(tokens),
                          base::Micros(static_cast<std::int64_t>(seconds * 1e6)));
        total.error += std::abs(estimator.rate() / rate - 1);
        total.changes += estimator.rate() == before ? 0 : 1;
    }
    return {total.error / kSamples, total.changes / kSamples};
}

Score mean(const Scene &scene, double confidence)
{
    Score sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Score one = score(scene, confidence, seed);
        sum.error += one.error / kSeeds;
        sum.changes += one.changes / kSeeds;
    }
    return sum;
}

} // namespace

int main()
{
    fmt::print("{} seeds of {} samples; error of the rate in use, and changes for each sample\n",
               kSeeds, kSamples);
    fmt::print("{:>7} {:>14} {:>12} {:>14} {:>14} {:>16}\n", "spread", "samples/rate",
               "error bound", "error average", "changes bound", "changes average");
    for (const double spread : {0.05, 0.2, 0.5}) {
        for (const int samples : {20, 100, 2'000}) {
            const Scene scene{spread, samples};
            const Score bound = mean(scene, RateEstimator::kConfidence);
            const Score average = mean(scene, 0);
            fmt::print("{:>7} {:>14} {:>12.3f} {:>14.3f} {:>14.2f} {:>16.2f}\n", spread, samples,
                       bound.error, average.error, bound.changes, average.changes);
        }
    }
    return 0;
}
