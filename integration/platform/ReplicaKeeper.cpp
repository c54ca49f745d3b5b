#include "ReplicaKeeper.h"

#include <chrono>

namespace hyssop::harness {

namespace {

constexpr base::Millis kBeat{1'000};
/// How long a crashed replica still holds its connections at most.
constexpr base::Millis kTick{2};

} // namespace

ReplicaKeeper::ReplicaKeeper(const PlatformBed *bed, std::string service)
    : m_bed(bed)
    , m_service(std::move(service))
    , m_places(bed->replicaListen.size())
{
    for (std::size_t n = 0; n < m_places.size(); ++n)
        startAt(n);
    m_thread = std::thread([this] { work(); });
}

ReplicaKeeper::~ReplicaKeeper()
{
    m_isStopping = true;
    m_thread.join();
}

void ReplicaKeeper::startAt(std::size_t n)
{
    Place &place = m_places[n];
    if (place.id.empty() || m_crashes.size() % 2 == 0)
        place.id = "i-" + std::to_string(++m_lastId);
    place.replica = std::make_unique<Replica>(place.id, m_bed->replicaListen[n]);
    place.replica->crashOn(m_triggers);
    place.incarnation = std::chrono::duration_cast<base::Millis>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    place.sequence = 0;
    place.announcesAt = {};
}

void ReplicaKeeper::crashOn(const CrashTriggers &triggers)
{
    const std::lock_guard guard(m_mutex);
    m_triggers = triggers;
    for (const Place &it : m_places) {
        if (it.replica)
            it.replica->crashOn(triggers);
    }
}

void ReplicaKeeper::crash(std::size_t place)
{
    const std::lock_guard guard(m_mutex);
    if (m_places[place].replica)
        end(place, "", base::monotonicNow());
}

void ReplicaKeeper::end(std::size_t n, const std::string &request, base::TimePoint now)
{
    Place &place = m_places[n];
    const auto arrivals = place.replica->traffic().arrivals;
    m_formerArrivals.insert(m_formerArrivals.end(), arrivals.begin(), arrivals.end());
    place.replica.reset();
    m_crashes.push_back({place.id, request, now});
    place.startsAt = now + kDownTime;
}

void ReplicaKeeper::work()
{
    while (!m_isStopping) {
        const base::TimePoint now = base::monotonicNow();
        {
            const std::lock_guard guard(m_mutex);
            for (std::size_t n = 0; n < m_places.size(); ++n) {
                Place &place = m_places[n];
                if (!place.replica && now >= place.startsAt)
                    startAt(n);
                const std::string request = place.replica ? place.replica->crashedBy() : "";
                if (!request.empty())
                    end(n, request, now);
            }
        }
        announceDue(now);
        std::this_thread::sleep_for(kTick);
    }
}

void ReplicaKeeper::announceDue(base::TimePoint now)
{
    for (std::size_t n = 0; n < m_places.size(); ++n) {
        std::unique_lock guard(m_mutex);
        Place &place = m_places[n];
        if (!place.replica || now < place.announcesAt)
            continue;
        place.announcesAt = now + kBeat;
        const std::string id = place.id;
        const std::int64_t sequence = ++place.sequence;
        const std::int64_t incarnation = place.incarnation;
        guard.unlock();
        for (const PlatformHost &it : m_bed->controls) {
            if (announce(it.listen, id, m_service, m_bed->replicaListen[n], sequence, false,
                         incarnation)
                == 200)
                break;
        }
    }
}

std::vector<ReplicaCrash> ReplicaKeeper::crashes() const
{
    const std::lock_guard guard(m_mutex);
    return m_crashes;
}

std::vector<ReplicaTraffic::Arrival> ReplicaKeeper::arrivals() const
{
    const std::lock_guard guard(m_mutex);
    std::vector<ReplicaTraffic::Arrival> all = m_formerArrivals;
    for (const Place &it : m_places) {
        if (!it.replica)
            continue;
        const auto arrivals = it.replica->traffic().arrivals;
        all.insert(all.end(), arrivals.begin(), arrivals.end());
    }
    return all;
}

} // namespace hyssop::harness
