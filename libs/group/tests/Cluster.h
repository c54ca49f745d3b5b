#pragma once

#include "group/Group.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <set>

namespace hyssop::group {

/// Control hosts with dynamic members, numbered from 1, on one thread in virtual time. Messages
/// arrive with the next step; those to or from a host that is down or cut off are lost.
class Cluster
{
public:
    Cluster()
    {
        std::string path =
                (std::filesystem::temp_directory_path() / "hyssop-cluster-XXXXXX").string();
        REQUIRE(::mkdtemp(path.data()));
        m_path = path;
    }
    ~Cluster() { std::filesystem::remove_all(m_path); }
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    static base::Endpoint address(int host) { return {"127.0.0." + std::to_string(host), 7}; }
    std::filesystem::path folder(int host) const { return m_path / std::to_string(host); }

    void start(int host, const std::vector<int> &seeds, bool canBootstrap)
    {
        DynamicMembersOptions members;
        members.self = base::HostId(address(host).text());
        members.dataCentre = base::DataCentreId(std::to_string(host));
        for (const int seed : seeds)
            members.seeds.push_back(address(seed));
        members.canBootstrap = canBootstrap;
        auto dynamicMembers = std::make_unique<DynamicMembers>(members, m_now);
        m_members[host] = dynamicMembers.get();
        GroupOptions options;
        options.group = replog::GroupId("g");
        options.host = members.self;
        options.folder = folder(host);
        options.members = std::move(dynamicMembers);
        options.seed = ++m_lastSeed;
        const auto send = [this, host](const base::Endpoint &to, std::string body) {
            m_messages.push_back({host, to, std::move(body)});
        };
        auto opened = GroupHost::open(std::move(options), send, m_now);
        REQUIRE(opened);
        m_hosts[host] = *std::move(opened);
    }
    void stop(int host)
    {
        m_hosts.erase(host);
        m_members.erase(host);
    }
    void loseDisk(int host) const { std::filesystem::remove_all(folder(host)); }
    void cutOff(int host) { m_cutOff.insert(host); }
    void reconnect(int host) { m_cutOff.erase(host); }

    /// Loses all messages between \a a and \a b from now on.
    void separate(int a, int b) { m_separated.insert({std::min(a, b), std::max(a, b)}); }

    void run(base::Millis duration)
    {
        constexpr base::Millis kStep{20};
        for (const base::TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
            for (const Sent &it : std::exchange(m_messages, {}))
                deliver(it);
            for (const auto &[number, host] : m_hosts)
                REQUIRE(host->pump(m_now));
        }
    }
    /// Whether \a host acknowledges the version within a second.
    bool put(int host, std::int64_t version)
    {
        const auto isAcknowledged = std::make_shared<bool>(false);
        m_hosts.at(host)->execute(
                ledger::PutConfiguration{version, "text"},
                [isAcknowledged](const auto &reply) { *isAcknowledged = reply.has_value(); },
                m_now);
        run(base::Millis(1'000));
        return *isAcknowledged;
    }
    std::int64_t version(int host) const
    {
        const auto &configuration = m_hosts.at(host)->ledger().configuration();
        return configuration ? configuration->version : 0;
    }
    /// The host that leads with a lease; 0 when there is none.
    int leader() const
    {
        for (const auto &[number, host] : m_hosts) {
            if (host->replica().hasLease(m_now))
                return number;
        }
        return 0;
    }
    std::ptrdiff_t leaderCount() const
    {
        return std::count_if(m_hosts.begin(), m_hosts.end(), [this](const auto &it) {
            return it.second->replica().hasLease(m_now);
        });
    }
    bool isEmpty(int host) const { return m_hosts.at(host)->replica().isEmpty(); }
    /// Identifies the group of \a host; 0 while it has applied nothing.
    std::int64_t incarnation(int host) const
    {
        return m_hosts.at(host)->ledger().groupIncarnation();
    }
    const replog::Configuration &configuration(int host) const
    {
        return m_hosts.at(host)->replica().configuration();
    }
    bool hasVote(int host) const
    {
        const int first = leader();
        if (first == 0)
            return false;
        const auto &voters = configuration(first).voters;
        return std::any_of(voters.begin(), voters.end(), [&](const auto &it) {
            return replog::hostOf(it).text() == address(host).text();
        });
    }
    DynamicMembers &members(int host) { return *m_members.at(host); }

private:
    struct Sent
    {
        int from;
        base::Endpoint to;
        std::string body;
    };

    void deliver(const Sent &sent)
    {
        for (const auto &[number, host] : m_hosts) {
            const std::pair<int, int> link{std::min(number, sent.from),
                                           std::max(number, sent.from)};
            const bool isCut = m_cutOff.count(number) > 0 || m_cutOff.count(sent.from) > 0
                               || m_separated.count(link) > 0;
            if (address(number) == sent.to && !isCut && m_hosts.count(sent.from) > 0)
                host->receive(sent.body, m_now);
        }
    }

    std::filesystem::path m_path;
    std::map<int, std::unique_ptr<GroupHost>> m_hosts;
    std::map<int, DynamicMembers *> m_members;
    std::set<int> m_cutOff;
    std::set<std::pair<int, int>> m_separated;
    std::deque<Sent> m_messages;
    base::TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_lastSeed = 0;
};

} // namespace hyssop::group
