#include "Failures.h"

#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

#include <atomic>

namespace hyssop::harness {

namespace {

std::atomic<bool> hasFailed{false};

class FailureListener final : public Catch::TestEventListenerBase
{
public:
    using TestEventListenerBase::TestEventListenerBase;

    void testCaseStarting(const Catch::TestCaseInfo &) override { hasFailed = false; }
    bool assertionEnded(const Catch::AssertionStats &stats) override
    {
        if (!stats.assertionResult.isOk())
            hasFailed = true;
        return false;
    }
};

} // namespace

CATCH_REGISTER_LISTENER(FailureListener)

bool hasFailures()
{
    return hasFailed;
}

} // namespace hyssop::harness
