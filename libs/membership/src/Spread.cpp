#include "membership/Membership.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace hyssop::membership {

namespace {

/// Up to so many other hosts, each hears from each.
constexpr std::size_t kSmall = 7;
/// Targets of a beat then, and where there are more.
constexpr std::size_t kTargetsOfSmall = 3;
constexpr std::size_t kTargets = 2;
/// Bytes of a row as encoded, about.
constexpr std::size_t kUpstreamRowBytes = 12;
constexpr std::size_t kHostRowBytes = 14;
/// Changed contents in one message, and contents that are sent because they were asked for.
constexpr std::size_t kMaxNews = 4;
constexpr std::size_t kMaxAsked = 16;
/// The longest time between rows, in beats.
constexpr std::size_t kMaxRowInterval = 8;
/// Seeds that are no known host are tried on each so many beats.
constexpr std::size_t kSeedInterval = 4;
/// How long a host's address is passed on after it came up, and how often later.
constexpr base::Millis kNewHost{5'000};
constexpr std::size_t kAddressInterval = 32;

bool contains(const std::vector<base::Endpoint> &list, const base::Endpoint &one)
{
    return std::find(list.begin(), list.end(), one) != list.end();
}

} // namespace

Spread::Spread(SpreadOptions options, HostTable *hosts, Directory *directory)
    : m_options(std::move(options))
    , m_hosts(hosts)
    , m_directory(directory)
    , m_rng(m_options.seed)
{ }

bool Spread::tellsAll() const
{
    return m_hosts->live().size() <= kSmall + 1;
}

std::size_t Spread::targetsOfBeat() const
{
    const std::size_t others = m_hosts->live().size() - 1;
    return tellsAll() ? std::min(others, kTargetsOfSmall) : kTargets;
}

int Spread::beatsOfTurn() const
{
    const std::size_t others = m_hosts->live().size() - 1;
    return std::max(1, static_cast<int>((others + kTargetsOfSmall - 1) / kTargetsOfSmall));
}

std::vector<base::Endpoint> Spread::nextInTurn(const std::vector<base::Endpoint> &known)
{
    std::vector<base::Endpoint> chosen;
    while (chosen.size() < std::min(known.size(), kTargetsOfSmall)) {
        if (m_turn.empty()) {
            // A drawn order, so that beats with rows do not always meet the same hosts.
            m_turn = known;
            std::shuffle(m_turn.begin(), m_turn.end(), m_rng);
        }
        if (contains(known, m_turn.back()) && !contains(chosen, m_turn.back()))
            chosen.push_back(m_turn.back());
        m_turn.pop_back();
    }
    return chosen;
}

std::vector<base::Endpoint> Spread::farAndNear(const std::vector<HostRow> &live,
                                               const std::vector<base::Endpoint> &known)
{
    const auto isSelf = [this](const HostRow &it) { return it.id == m_hosts->self().id; };
    const auto self =
            static_cast<std::size_t>(std::find_if(live.begin(), live.end(), isSelf) - live.begin());
    const auto distances = static_cast<std::size_t>(std::bit_width(live.size() - 1));
    const std::size_t distance = std::size_t(1) << (m_rounds % distances);
    std::vector<base::Endpoint> chosen{live[(self + distance) % live.size()].address};
    const std::size_t n = std::uniform_int_distribution<std::size_t>(0, known.size() - 1)(m_rng);
    if (!contains(chosen, known[n]))
        chosen.push_back(known[n]);
    return chosen;
}

std::vector<base::Endpoint> Spread::targets()
{
    if (m_options.usesSeedsOnly)
        return m_options.seeds;
    const std::vector<HostRow> live = m_hosts->live();
    std::vector<base::Endpoint> known;
    for (const HostRow &row : live) {
        if (row.id != m_hosts->self().id && row.address.port != 0)
            known.push_back(row.address);
    }
    std::vector<base::Endpoint> chosen =
            known.size() > kSmall ? farAndNear(live, known) : nextInTurn(known);
    if (m_beats % kSeedInterval == 0 || known.empty()) {
        for (const base::Endpoint &seed : m_options.seeds) {
            if (!contains(known, seed))
                chosen.push_back(seed);
        }
    }
    std::erase_if(chosen, [](const base::Endpoint &it) { return it.port == 0; });
    return chosen;
}

std::size_t Spread::rowInterval() const
{
    const std::size_t hosts = m_hosts->live().size();
    const std::size_t bytes = m_directory->size() * kUpstreamRowBytes + hosts * kHostRowBytes;
    const auto bound = static_cast<std::size_t>(m_options.rowBytesPerSecond.count()
                                                * m_options.beat.count() / 1'000);
    return std::clamp<std::size_t>((bytes * targetsOfBeat() + bound - 1) / bound, 1,
                                   kMaxRowInterval);
}

base::Millis Spread::allowance() const
{
    const auto hosts = static_cast<unsigned>(m_hosts->live().size());
    const int rounds = tellsAll() ? 2 * beatsOfTurn() : 2 * static_cast<int>(std::bit_width(hosts));
    return m_options.beat * static_cast<int>(rowInterval()) * rounds;
}

void Spread::addRows(SpreadMessage &message, base::TimePoint now) const
{
    message.seen = m_directory->rows();
    const bool tellsAddresses = m_beats % kAddressInterval < kMaxRowInterval;
    for (HostRow &row : m_hosts->live()) {
        if (row.id == m_hosts->self().id)
            continue;
        if (!tellsAddresses && !m_hosts->isNew(row.id, kNewHost, now))
            row.address = {};
        message.hosts.push_back(std::move(row));
    }
}

std::vector<base::UpstreamId> Spread::mostUrgentNews() const
{
    // Leaving upstreams, then what has been told least often.
    std::vector<std::pair<int, base::UpstreamId>> order;
    for (const auto &[id, beats] : m_news) {
        const bool isLeaving = m_directory->find(id)->upstream.isLeaving;
        order.emplace_back(isLeaving ? std::numeric_limits<int>::max() : beats, id);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<base::UpstreamId> ids;
    for (std::size_t n = 0; n < std::min(order.size(), kMaxNews); ++n)
        ids.push_back(order[n].second);
    return ids;
}

void Spread::addNews(SpreadMessage &message)
{
    std::erase_if(m_news, [this](const auto &it) {
        return it.second <= 0 || !m_directory->find(it.first);
    });
    for (const base::UpstreamId &id : mostUrgentNews()) {
        message.news.push_back(*m_directory->find(id));
        --m_news[id];
    }
}

std::vector<Spread::Outgoing> Spread::beat(base::TimePoint now)
{
    ++m_beats;
    m_hosts->beat();
    m_hosts->setAllowance(allowance());
    m_directory->setAllowance(allowance());
    SpreadMessage common;
    common.from = m_hosts->self();
    addNews(common);
    const std::vector<base::Endpoint> chosen = targets();
    if (m_beats - m_rowBeat >= rowInterval()) {
        m_rowBeat = m_beats;
        ++m_rounds;
        addRows(common, now);
    }
    std::vector<Outgoing> out;
    out.reserve(chosen.size());
    for (const base::Endpoint &to : chosen)
        out.push_back({to, common});
    addDirect(out);
    return out;
}

void Spread::addDirect(std::vector<Outgoing> &out)
{
    std::map<base::HostId, SpreadMessage> direct;
    for (const auto &[host, ids] : std::exchange(m_owed, {})) {
        for (const base::UpstreamId &id : ids) {
            if (const Announcement *it = m_directory->find(id))
                direct[host].news.push_back(*it);
        }
    }
    for (auto &[host, ids] : std::exchange(m_wanted, {}))
        direct[host].wanted = std::move(ids);
    for (auto &[host, message] : direct) {
        const HostRow *row = m_hosts->find(host);
        message.from = m_hosts->self();
        if (m_options.usesSeedsOnly) {
            // Which seed the host is behind is not known.
            for (const base::Endpoint &seed : m_options.seeds)
                out.push_back({seed, message});
        } else if (row && row->address.port != 0) {
            out.push_back({row->address, std::move(message)});
        }
    }
}

void Spread::noteNews(const std::vector<DirectoryChange> &changes)
{
    const auto hosts = static_cast<unsigned>(m_hosts->live().size());
    const int beats =
            tellsAll() ? 2 * beatsOfTurn() : 2 * static_cast<int>(std::bit_width(hosts)) + 2;
    for (const DirectoryChange &change : changes)
        m_news[change.upstream.id] = beats;
}

std::vector<DirectoryChange> Spread::announce(const Announcement &announcement, base::TimePoint now)
{
    const auto changes = m_directory->announce(announcement, now);
    noteNews(changes);
    return changes;
}

void Spread::noteKnown(const Announcement &announcement)
{
    const auto it = m_news.find(announcement.upstream.id);
    const Announcement *own = m_directory->find(announcement.upstream.id);
    // Who passes it on has it; one that passes on older words is yet to hear of these.
    if (it != m_news.end() && own && announcement.sequence >= own->sequence)
        --it->second;
}

Spread::Changes Spread::receive(const SpreadMessage &message, base::TimePoint now)
{
    Changes changes;
    const auto hear = [&](const HostRow &row) {
        const auto heard = m_hosts->hear(row, now);
        changes.hosts.insert(changes.hosts.end(), heard.begin(), heard.end());
    };
    hear(message.from);
    for (const HostRow &row : message.hosts)
        hear(row);
    for (const Announcement &announcement : message.news) {
        const auto taken = m_directory->announce(announcement, now);
        noteNews(taken);
        if (taken.empty())
            noteKnown(announcement);
        changes.upstreams.insert(changes.upstreams.end(), taken.begin(), taken.end());
    }
    std::vector<base::UpstreamId> wanted;
    for (const UpstreamRow &row : message.seen) {
        if (m_directory->refresh(row, now) == Directory::Refresh::Unknown
            && wanted.size() < kMaxAsked)
            wanted.push_back(row.id);
    }
    if (!wanted.empty())
        m_wanted[message.from.id] = std::move(wanted);
    if (!message.wanted.empty()) {
        auto &owed = m_owed[message.from.id];
        owed = message.wanted;
        owed.resize(std::min(owed.size(), kMaxAsked));
    }
    return changes;
}

} // namespace hyssop::membership
