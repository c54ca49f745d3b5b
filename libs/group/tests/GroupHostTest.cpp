#include "group/Group.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sys/resource.h>

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

/// A folder that is removed with the object.
class Folder
{
public:
    Folder()
    {
        std::string path =
                (std::filesystem::temp_directory_path() / "hyssop-group-XXXXXX").string();
        REQUIRE(::mkdtemp(path.data()));
        m_path = path;
    }
    ~Folder() { std::filesystem::remove_all(m_path); }
    const std::filesystem::path &path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// While it lives, files cannot grow beyond a size, as on a full disk.
class FileLimit
{
public:
    explicit FileLimit(rlim_t bytes)
        : m_handler(std::signal(SIGXFSZ, SIG_IGN))
    {
        ::getrlimit(RLIMIT_FSIZE, &m_previous);
        rlimit limit = m_previous;
        limit.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~FileLimit()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_previous);
        std::signal(SIGXFSZ, m_handler);
    }

private:
    rlimit m_previous{};
    void (*m_handler)(int);
};

/// The only host of a group.
class OnlyHost
{
public:
    explicit OnlyHost(const std::filesystem::path &folder)
    {
        GroupOptions options;
        options.group = replog::GroupId("g");
        options.host = base::HostId("h");
        options.folder = folder;
        options.initialHosts = {{options.host, {"127.0.0.1", 1}}};
        auto opened = GroupHost::open(
                std::move(options), [](const auto &, const auto &) {}, m_now);
        REQUIRE(opened);
        m_host = *std::move(opened);
        run(Millis(2'000));
    }

    void run(Millis duration)
    {
        for (const base::TimePoint end = m_now + duration; m_now < end; m_now += Millis(20))
            REQUIRE(m_host->pump(m_now));
    }
    /// Whether the host acknowledges the version within a second.
    bool put(std::int64_t version)
    {
        bool isAcknowledged = false;
        m_host->execute(
                ledger::PutConfiguration{version, "text"},
                [&](const auto &reply) { isAcknowledged = reply.has_value(); }, m_now);
        run(Millis(900));
        return isAcknowledged;
    }
    std::int64_t version() const
    {
        const auto &configuration = m_host->ledger().configuration();
        return configuration ? configuration->version : 0;
    }
    bool hasLease() const { return m_host->replica().hasLease(m_now); }
    const GroupHost &host() const { return *m_host; }

private:
    std::unique_ptr<GroupHost> m_host;
    base::TimePoint m_now = kStart;
};

} // namespace

TEST_CASE("a full disk ends neither the host nor what it acknowledged, and nothing is acknowledged "
          "on it")
{
    const Folder folder;
    OnlyHost host(folder.path());
    REQUIRE(host.put(3));
    {
        const FileLimit limit(64);
        CHECK_FALSE(host.put(4));
        CHECK_FALSE(host.hasLease());
        CHECK(host.host().isSuspended());
        host.run(Millis(5'000));
        CHECK_FALSE(host.put(5));
        CHECK_FALSE(host.hasLease());
    }
    host.run(Millis(3'000));
    CHECK_FALSE(host.host().isSuspended());
    CHECK(host.hasLease());
    CHECK(host.version() == 3);
    CHECK(host.put(6));
    CHECK(host.version() == 6);
}

TEST_CASE("what was acknowledged after a full disk is there after a restart")
{
    const Folder folder;
    {
        OnlyHost host(folder.path());
        REQUIRE(host.put(3));
        {
            const FileLimit limit(300);
            CHECK_FALSE(host.put(4));
        }
        host.run(Millis(3'000));
        REQUIRE(host.put(7));
    }
    OnlyHost restarted(folder.path());
    CHECK(restarted.version() == 7);
}
