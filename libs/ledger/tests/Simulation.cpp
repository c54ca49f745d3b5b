#include "Simulation.h"

#include <fmt/format.h>

namespace hyssop::ledger {

namespace {

constexpr int kHostCount = 5;
constexpr int kInitialVoterCount = 3;
constexpr base::Millis kStepDuration{10};
constexpr int kStepsAfterHealing = 1'500;
constexpr replog::Index kCompactionInterval(60);

/// Small bounds, so that runs reach them and snapshots stay small.
LedgerOptions ledgerOptions()
{
    LedgerOptions options;
    options.maxChangeReplies = 30;
    return options;
}

} // namespace

/// Disk on which a part of the unsynced writes survives a crash of the host.
class Simulation::Disk : public replog::Storage
{
public:
    tl::expected<replog::RecoveredState, replog::StorageError> open() override { return m_durable; }
    void append(const std::vector<replog::Entry> &entries) override
    {
        for (const replog::Entry &entry : entries)
            m_pending.emplace_back([this, entry] { m_durable.entries.push_back(entry); });
    }
    void truncateFrom(replog::Index first) override
    {
        m_pending.emplace_back([this, first] {
            std::erase_if(m_durable.entries,
                          [first](const auto &entry) { return entry.position.index >= first; });
        });
    }
    void setHardState(const replog::HardState &state) override
    {
        m_pending.emplace_back([this, state] { m_durable.hardState = state; });
    }
    void saveSnapshot(const replog::Snapshot &snapshot) override
    {
        m_pending.emplace_back([this, snapshot] {
            m_durable.snapshot = snapshot;
            std::erase_if(m_durable.entries, [&snapshot](const auto &entry) {
                return entry.position.index <= snapshot.position.index;
            });
        });
    }
    tl::expected<void, replog::StorageError> sync() override
    {
        persistFirst(m_pending.size());
        return {};
    }
    std::size_t pendingCount() const { return m_pending.size(); }
    /// Makes the first \a n unsynced writes durable and discards the others.
    void persistFirst(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            m_pending[i]();
        m_pending.clear();
    }

private:
    replog::RecoveredState m_durable;
    std::vector<std::function<void()>> m_pending;
};

struct Simulation::Host
{
    int number = 0;
    int incarnation = 1;
    double clockRate = 1.0; ///< Local time per simulated time.
    std::int64_t clockOffsetMs = 0;
    std::unique_ptr<Disk> disk;
    std::unique_ptr<replog::Replica> replica;
    Ledger ledger;
    replog::Position applied;
    replog::Index compactedUpTo;
    bool isStopping = false;
    /// Payloads that this host proposed and has not applied yet.
    std::map<replog::Position, std::string> pendingProposals;

    replog::ReplicaId id() const
    {
        return replog::ReplicaId(fmt::format("h{}.{}", number, incarnation));
    }
};

Simulation::Simulation(std::uint64_t seed, Faults faults)
    : m_faults(faults)
    , m_rng(seed)
{
    m_lossRate = 0.01 * static_cast<double>(drawUpTo(25));
    m_faultRateFactor = static_cast<double>(1 + drawUpTo(5));
    for (int n = 0; n < kHostCount; ++n) {
        auto host = std::make_unique<Host>();
        host->number = n;
        host->disk = std::make_unique<Disk>();
        if (faults.clockSkew) {
            host->clockRate = 0.9 + 0.02 * static_cast<double>(drawUpTo(10));
            host->clockOffsetMs = drawUpTo(100'000);
        }
        m_hosts.push_back(std::move(host));
    }
    for (const auto &host : m_hosts)
        start(*host);
}

Simulation::~Simulation() = default;

bool Simulation::drawBool(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_rng) < probability;
}

std::int64_t Simulation::drawUpTo(std::int64_t max)
{
    return std::uniform_int_distribution<std::int64_t>(0, max)(m_rng);
}

void Simulation::reportViolation(const std::string &what)
{
    if (!m_violation)
        m_violation = fmt::format("at {} ms: {}", m_nowMs, what);
}

base::TimePoint Simulation::localNow(const Host &host) const
{
    const double local = static_cast<double>(m_nowMs) * host.clockRate * 1'000;
    return base::TimePoint(base::Millis(host.clockOffsetMs)
                           + base::Micros(static_cast<std::int64_t>(local)));
}

void Simulation::start(Host &host)
{
    replog::ReplicaOptions options;
    options.group = replog::GroupId("global");
    options.self = host.id();
    options.seed = m_rng();
    options.trailingEntries = 20;
    const bool isFirst = host.number < kInitialVoterCount && host.incarnation == 1;
    for (int n = 0; isFirst && n < kInitialVoterCount; ++n)
        options.voters.emplace_back(fmt::format("h{}.1", n));
    host.replica = *replog::Replica::open(options, host.disk.get(), localNow(host));
    host.ledger = Ledger(ledgerOptions());
    host.applied = {};
    host.compactedUpTo = {};
    host.isStopping = false;
}

void Simulation::crash(Host &host)
{
    host.replica.reset();
    host.pendingProposals.clear();
    host.disk->persistFirst(static_cast<std::size_t>(
            drawUpTo(static_cast<std::int64_t>(host.disk->pendingCount()))));
}

void Simulation::loseDisk(Host &host)
{
    crash(host);
    host.disk = std::make_unique<Disk>();
    ++host.incarnation;
}

Simulation::Host *Simulation::findHost(const replog::ReplicaId &id)
{
    for (const auto &host : m_hosts) {
        if (host->id() == id)
            return host.get();
    }
    return nullptr;
}

bool Simulation::isLinkCut(const replog::ReplicaId &from, const replog::ReplicaId &to) const
{
    const int sender = from.text().at(1) - '0';
    const int receiver = to.text().at(1) - '0';
    return m_isolatedHosts.contains(sender) != m_isolatedHosts.contains(receiver)
           || m_cutLinks.contains({sender, receiver});
}

void Simulation::send(const std::vector<replog::Message> &messages)
{
    for (const replog::Message &message : messages) {
        if (!m_isHealed && m_faults.loss && drawBool(m_lossRate))
            continue;
        const int copies = !m_isHealed && m_faults.duplication && drawBool(0.05) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            const std::int64_t extra = !m_isHealed && m_faults.reorder ? drawUpTo(60) : 0;
            const std::int64_t late = extra > 0 && drawBool(0.01) ? drawUpTo(3'000) : 0;
            m_messageQueue.push_back({message, m_nowMs + 1 + extra + late});
        }
    }
}

void Simulation::deliverDueMessages()
{
    for (auto it = m_messageQueue.begin(); it != m_messageQueue.end();) {
        if (it->dueMs > m_nowMs) {
            ++it;
            continue;
        }
        Host *const to = findHost(it->message.to);
        if (to && to->replica && !isLinkCut(it->message.from, it->message.to))
            to->replica->receive(it->message, localNow(*to));
        it = m_messageQueue.erase(it);
    }
}

void Simulation::injectHostFaults(Host &host)
{
    if (!host.replica) {
        if (drawBool(0.02))
            start(host);
        return;
    }
    const bool hasHandedOver = host.isStopping && !host.replica->isLeader();
    if (hasHandedOver || (m_faults.crashes && drawBool(0.001 * m_faultRateFactor)))
        return crash(host);
    // A disk is lost only after the group has recovered from the previous loss.
    bool areInitialHostsVoters = true;
    for (int n = 0; n < kInitialVoterCount; ++n)
        areInitialHostsVoters =
                areInitialHostsVoters && host.replica->configuration().isVoter(m_hosts[n]->id());
    const bool isRepaired = areInitialHostsVoters && host.replica->isConfigurationCommitted()
                            && host.replica->hasLease(localNow(host));
    if (m_faults.diskLosses && isRepaired && drawBool(0.003))
        loseDisk(*m_hosts[static_cast<std::size_t>(drawUpTo(kInitialVoterCount - 1))]);
}

void Simulation::restartAtOnce(Host &host)
{
    if (host.replica)
        crash(host);
    start(host);
}

void Simulation::injectFaults()
{
    // A replica that forgets at its restart what it has answered a leader breaks that lease.
    if (m_faults.quickRestarts && drawBool(0.003 * m_faultRateFactor))
        restartAtOnce(*m_hosts[static_cast<std::size_t>(drawUpTo(kHostCount - 1))]);
    if (m_faults.quickRestarts && drawBool(0.001 * m_faultRateFactor)) {
        for (const auto &host : m_hosts)
            restartAtOnce(*host);
    }
    for (const auto &host : m_hosts)
        injectHostFaults(*host);
    if (m_faults.partitions && drawBool(0.002 * m_faultRateFactor)) {
        m_isolatedHosts.clear();
        for (int n = 0; n < kHostCount; ++n) {
            if (drawBool(0.3))
                m_isolatedHosts.insert(n);
        }
    }
    if (m_faults.oneWayCuts && drawBool(0.005 * m_faultRateFactor))
        m_cutLinks.emplace(drawUpTo(kHostCount - 1), drawUpTo(kHostCount - 1));
    if (drawBool(0.003))
        m_cutLinks.clear();
    if (drawBool(0.01))
        m_isolatedHosts.clear();
}

Command Simulation::drawCommand()
{
    const std::int64_t n = ++m_commandCount;
    const Owner owner{base::HostId(fmt::format("e{}", drawUpTo(3))), base::Incarnation(1)};
    const base::TeamId team("shop");
    switch (drawUpTo(3)) {
    case 0:
        return Claim{team, fmt::format("k{}", drawUpTo(200)), "d", owner};
    case 1:
        return FinishClaim{team, fmt::format("k{}", drawUpTo(200)), owner, Answer{200, "t", "b"}};
    case 2:
        return TakeLease{"orders", owner, base::Millis(500)};
    default: {
        records::Record record{records::Kind::Team, "shop", 1, records::Version(n), "{}"};
        return PutRecord{fmt::format("c{}", n), records::Version(drawUpTo(n)), record};
    }
    }
}

void Simulation::proposeCommands(Host &host)
{
    if (!host.replica->isLeader() || !drawBool(0.4))
        return;
    for (std::int64_t n = drawUpTo(3); n >= 0; --n) {
        const std::string payload = encode(drawCommand(), m_nowMs + host.clockOffsetMs);
        const auto position = host.replica->propose(payload, localNow(host));
        if (position)
            host.pendingProposals.emplace(*position, payload);
    }
}

void Simulation::changeVoters(Host &host)
{
    std::vector<replog::ReplicaId> wanted;
    wanted.reserve(kHostCount);
    for (int n = 0; n < kInitialVoterCount; ++n)
        wanted.push_back(m_hosts[n]->id());
    // The other hosts join and leave as voters in turn.
    if (!m_isHealed && m_nowMs / 8'000 % 2 == 1)
        wanted.push_back(m_hosts[kInitialVoterCount + m_nowMs / 16'000 % 2]->id());
    const auto change = replog::nextMembershipChange(*host.replica, {wanted, {}}, localNow(host));
    if (change && host.replica->changeMembership(*change, localNow(host)))
        ++m_voterChangeCount;
    if (!m_isHealed && m_faults.leaderTransfers && host.replica->isLeader()
        && drawBool(0.001 * m_faultRateFactor)) {
        host.isStopping = true;
        host.replica->prepareStop(localNow(host));
    }
}

void Simulation::apply(Host &host, const replog::Entry &entry)
{
    if (entry.position <= host.applied)
        reportViolation("the applied position decreased on " + host.id().text());
    host.applied = entry.position;
    const auto [known, isNew] = m_committed.emplace(entry.position.index, entry);
    if (known->second != entry)
        reportViolation(fmt::format("committed entry {} differs between replicas",
                                    entry.position.index.count()));
    const Reply reply = host.ledger.apply(entry);
    const auto [time, isFirst] =
            m_logTimesMs.emplace(entry.position.index, host.ledger.logTimeMs());
    if (time->second != host.ledger.logTimeMs())
        reportViolation("replicas disagree on the log time");
    if (time != m_logTimesMs.begin() && std::prev(time)->second > time->second)
        reportViolation("the log time decreased");
    const auto stamped = decodeCommand(entry.payload);
    const auto *claim = stamped ? std::get_if<Claim>(&stamped->command) : nullptr;
    if (claim && reply.status == Status::Accepted) {
        const auto [grant, isGranted] = m_firstGrants.emplace(claim->key, entry.position.index);
        if (grant->second != entry.position.index)
            reportViolation("a claim was granted twice: " + claim->key);
    }
    const auto proposal = host.pendingProposals.find(entry.position);
    if (proposal == host.pendingProposals.end())
        return;
    if (proposal->second != entry.payload)
        reportViolation("a different command was acknowledged");
    m_acknowledged.emplace(entry.position, proposal->second);
    host.pendingProposals.erase(proposal);
}

void Simulation::flushReplica(Host &host)
{
    auto output = *host.replica->flush(localNow(host));
    if (output.restoredSnapshot) {
        ++m_restoreCount;
        if (output.restoredSnapshot->position < host.applied)
            reportViolation("a snapshot is older than the applied position");
        if (!host.ledger.restore(output.restoredSnapshot->data))
            reportViolation("a snapshot could not be restored");
        host.applied = output.restoredSnapshot->position;
    }
    for (const replog::Entry &entry : output.committed)
        apply(host, entry);
    // Crashes right after the sync, before any message of the batch is sent.
    if (!m_isHealed && m_faults.crashes && drawBool(0.0005))
        return crash(host);
    send(output.messages);
    if (m_faults.snapshots && host.applied.index >= host.compactedUpTo + kCompactionInterval) {
        host.compactedUpTo = host.applied.index;
        host.replica->compact(host.applied, host.ledger.snapshot());
    }
}

void Simulation::checkLeaders()
{
    int leases = 0;
    for (const auto &host : m_hosts) {
        if (!host->replica)
            continue;
        leases += host->replica->hasLease(localNow(*host)) ? 1 : 0;
        if (!host->replica->isLeader())
            continue;
        const auto [it, isNew] = m_leaders.emplace(host->replica->term(), host->id());
        if (it->second != host->id())
            reportViolation("two leaders in one term");
    }
    if (leases > 1)
        reportViolation("two replicas hold the lease at once");
}

void Simulation::step()
{
    m_nowMs += kStepDuration.count();
    if (!m_isHealed)
        injectFaults();
    deliverDueMessages();
    for (const auto &host : m_hosts) {
        if (!host->replica)
            continue;
        host->replica->tick(localNow(*host));
        changeVoters(*host);
        proposeCommands(*host);
    }
    checkLeaders();
    for (const auto &host : m_hosts) {
        if (host->replica)
            flushReplica(*host);
    }
    checkLeaders();
}

void Simulation::heal()
{
    m_isHealed = true;
    m_isolatedHosts.clear();
    m_cutLinks.clear();
    for (const auto &host : m_hosts) {
        // Restarts every replica, as a process restart would.
        crash(*host);
        start(*host);
    }
}

void Simulation::checkConverged()
{
    const replog::Position last =
            m_committed.empty() ? replog::Position() : m_committed.rbegin()->second.position;
    const Host *reference = nullptr;
    for (int n = 0; n < kInitialVoterCount; ++n) {
        const Host &host = *m_hosts[n];
        if (host.applied < last)
            reportViolation(fmt::format("{} has not caught up: {} of {}", host.id().text(),
                                        host.applied.index.count(), last.index.count()));
        if (!host.replica->configuration().isVoter(host.id()))
            reportViolation(host.id().text() + " has not become a voter again");
        if (reference && host.applied == reference->applied
            && host.ledger.snapshot() != reference->ledger.snapshot())
            reportViolation("two ledgers differ at the same position");
        reference = &host;
    }
    for (const auto &[position, payload] : m_acknowledged) {
        const auto it = m_committed.find(position.index);
        if (it == m_committed.end() || it->second.payload != payload)
            reportViolation("an acknowledged command was lost");
    }
}

std::optional<std::string> Simulation::run(int steps)
{
    for (int n = 0; n < steps && !m_violation; ++n)
        step();
    const std::size_t before = m_acknowledged.size();
    heal();
    for (int n = 0; n < kStepsAfterHealing && !m_violation; ++n)
        step();
    if (!m_violation && m_acknowledged.size() == before)
        reportViolation("the healed group accepts no commands");
    // Proposes no more commands, so that all replicas can reach the same position.
    for (int n = 0; n < 50 && !m_violation; ++n) {
        m_nowMs += kStepDuration.count();
        deliverDueMessages();
        for (const auto &host : m_hosts) {
            host->replica->tick(localNow(*host));
            flushReplica(*host);
        }
    }
    checkConverged();
    return m_violation;
}

} // namespace hyssop::ledger
