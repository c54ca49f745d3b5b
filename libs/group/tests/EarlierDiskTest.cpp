// Disks of control hosts as earlier builds left them. Each folder of golden/ was written by the
// build of the commit that it is named after: a snapshot of 5,000 commands and a log with the 100
// after it.

#include "group/Group.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;

namespace fs = std::filesystem;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kLastVersion = 5'100;

/// A copy of an earlier build's disk, and the only host of its group on it.
class RestartedHost
{
public:
    explicit RestartedHost(const std::string &commit)
    {
        std::string path = (fs::temp_directory_path() / "hyssop-disk-XXXXXX").string();
        REQUIRE(::mkdtemp(path.data()));
        m_folder = path;
        fs::copy(fs::path(HYSSOP_GOLDEN_DIR) / commit, m_folder, fs::copy_options::recursive);
        open();
    }
    ~RestartedHost() { fs::remove_all(m_folder); }
    RestartedHost(const RestartedHost &) = delete;
    RestartedHost &operator=(const RestartedHost &) = delete;

    void open()
    {
        m_host.reset();
        GroupOptions options;
        options.group = replog::GroupId("g");
        options.host = base::HostId("h");
        options.folder = m_folder;
        options.initialHosts = {{options.host, {"127.0.0.1", 1}}};
        auto opened = GroupHost::open(
                std::move(options), [](const auto &, const auto &) {}, m_now);
        REQUIRE(opened);
        m_host = *std::move(opened);
        run(Millis(3'000));
    }
    void run(Millis duration)
    {
        for (const base::TimePoint end = m_now + duration; m_now < end; m_now += Millis(20))
            REQUIRE(m_host->pump(m_now));
    }
    bool put(std::int64_t version)
    {
        bool isAcknowledged = false;
        m_host->execute(
                ledger::PutConfiguration{version, "new"},
                [&](const auto &reply) { isAcknowledged = reply.has_value(); }, m_now);
        run(Millis(500));
        return isAcknowledged;
    }
    std::optional<ledger::StoredConfiguration> configuration() const
    {
        return m_host->ledger().configuration();
    }

private:
    fs::path m_folder;
    std::unique_ptr<GroupHost> m_host;
    base::TimePoint m_now = kStart;
};

} // namespace

TEST_CASE("a control host that is replaced by this build keeps what earlier builds acknowledged")
{
    const std::string commit = GENERATE("b51654d", "bc49b41", "bff58e5");
    CAPTURE(commit);
    RestartedHost host(commit);
    REQUIRE(host.configuration());
    CHECK(host.configuration()->version == kLastVersion);
    CHECK(host.configuration()->text == "text 5100");
    CHECK(host.put(kLastVersion + 1));
    host.open();
    CHECK(host.configuration()->version == kLastVersion + 1);
    CHECK(host.configuration()->text == "new");
}
