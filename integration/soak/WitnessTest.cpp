#include "Witness.h"
#include "SoakPlan.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>

#include <unistd.h>

using namespace hyssop;
using namespace hyssop::soak;

namespace {

/// A log file that is removed with this object.
class Log
{
public:
    explicit Log(const std::string &text)
    {
        std::string path =
                (std::filesystem::temp_directory_path() / "hyssop-witness-XXXXXX").string();
        const int fd = ::mkstemp(path.data());
        REQUIRE(fd >= 0);
        ::close(fd);
        m_path = path;
        std::ofstream(m_path) << text;
    }
    ~Log()
    {
        std::error_code ec;
        std::filesystem::remove(m_path, ec);
    }
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    const std::filesystem::path &path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST_CASE("work is counted over all upstreams and restarts")
{
    const Log first("ts=2026-12-03T10:00:00.000Z event=listening service=127.0.0.1:1 seed=1\n"
                    "ts=2026-12-03T10:00:01.000Z event=work_started work=/check/a\n"
                    "ts=2026-12-03T10:00:02.000Z event=listening service=127.0.0.1:1 seed=1\n"
                    "ts=2026-12-03T10:00:03.000Z event=work_started work=/check/a\n"
                    "ts=2026-12-03T10:00:04.000Z event=work_refused code=busy\n");
    const Log second("ts=2026-12-03T10:00:01.000Z event=work_started work=/check/b\n");
    const Witness witness({{"service-1", first.path()}, {"service-2", second.path()}});
    CHECK(witness.startsOf("/check/a") == 2);
    CHECK(witness.startsOf("/check/b") == 1);
    CHECK(witness.startsOf("/check/c") == 0);
    CHECK(witness.leavings().empty());
}

TEST_CASE("work that comes later than 3 s after an upstream said it leaves is late")
{
    const Log log("ts=2026-12-03T23:59:59.500Z event=leaving engine=engine-1\n"
                  "ts=2026-12-04T00:00:02.500Z event=work_started work=a\n"
                  "ts=2026-12-04T00:00:02.501Z event=work_refused code=leaving\n"
                  "ts=2026-12-04T00:00:02.700Z event=work_refused code=unknown_attempt\n"
                  "ts=2026-12-04T00:00:05.000Z event=listening engine=127.0.0.1:1 seed=1\n"
                  "ts=2026-12-04T00:00:05.100Z event=work_started work=b\n");
    const Witness witness({{"engine-1", log.path()}});
    REQUIRE(witness.leavings().size() == 1);
    CHECK(witness.leavings().front().lateWork == 1);
    CHECK(witness.leavings().front().firstLate == "2026-12-04T00:00:02.501Z");
}

TEST_CASE("a plan of faults is the same for the same seed and has every kind")
{
    const Targets targets{
            {"entry-1"},  {"control-1"}, {"engine-1"}, {"service-1"}, {"engine-1", "service-1"},
            {"floro-sal"}};
    base::Rng rng(7);
    base::Rng again(7);
    std::set<Fault> kinds;
    const std::vector<FaultStep> steps = drawFaults(rng, targets, base::Millis(60'000));
    const std::vector<FaultStep> same = drawFaults(again, targets, base::Millis(60'000));
    REQUIRE(steps.size() == same.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
        CHECK(steps[i].text() == same[i].text());
        kinds.insert(steps[i].fault);
    }
    CHECK(kinds.size() == static_cast<std::size_t>(Fault::ResetUpstream) + 1);
    CHECK(steps.front().fault == Fault::StopEngine);
}
