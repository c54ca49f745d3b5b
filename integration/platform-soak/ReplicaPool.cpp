#include "ReplicaPool.h"

namespace hyssop::platformsoak {

namespace {

constexpr base::Millis kBeat{1'000};
/// A leaving replica serves on for longer than any call may come.
constexpr base::Millis kLeaving{5'000};
/// Addresses are used again after this.
constexpr base::Millis kReuseAfter{2'200};
constexpr harness::ReplicaFaults kFaults{2, 1, 2};

} // namespace

ReplicaPool::ReplicaPool(const harness::PlatformBed *bed, History *history, std::uint64_t seed)
    : m_bed(bed)
    , m_history(history)
    , m_rng(seed)
    , m_places(bed->replicaListen.size())
{
    for (std::size_t n = 0; n < m_places.size(); ++n)
        startAt(n);
    m_thread = std::thread([this] { work(); });
}

ReplicaPool::~ReplicaPool()
{
    stop();
}

void ReplicaPool::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void ReplicaPool::startAt(std::size_t n)
{
    Place &place = m_places[n];
    place.replica = std::make_unique<harness::Replica>("i-" + std::to_string(++m_lastId),
                                                       m_bed->replicaListen[n], kFaults, m_rng());
    place.sequence = 0;
    place.state = State::Serving;
    place.isHeard = false;
}

void ReplicaPool::retire(Place &place)
{
    const auto runs = place.replica->runs();
    m_formerRuns.insert(m_formerRuns.end(), runs.begin(), runs.end());
    place.replica.reset();
}

void ReplicaPool::crash(std::size_t n, base::Millis down)
{
    const std::lock_guard guard(m_mutex);
    Place &place = m_places[n];
    if (place.state != State::Serving)
        return;
    const base::TimePoint now = base::monotonicNow();
    retire(place);
    place.state = State::Down;
    place.until = now + std::max(down, kReuseAfter);
    m_history->add(FaultRecord{"replica-" + std::to_string(n), false, now, place.until});
}

void ReplicaPool::leave(std::size_t n)
{
    const std::lock_guard guard(m_mutex);
    Place &place = m_places[n];
    if (place.state != State::Serving)
        return;
    place.state = State::Leaving;
    place.until = base::monotonicNow() + kLeaving;
}

void ReplicaPool::tick(std::size_t n, base::TimePoint now)
{
    std::string id;
    std::int64_t sequence = 0;
    bool isLeaving = false;
    {
        const std::lock_guard guard(m_mutex);
        Place &place = m_places[n];
        if (place.state != State::Serving && now >= place.until) {
            if (place.state == State::Leaving) {
                retire(place);
                place.state = State::Down;
                place.until = now + kReuseAfter;
                // Streams that were still there are cut.
                m_history->add(
                        FaultRecord{"replica-" + std::to_string(n), false, now, place.until});
                return;
            }
            startAt(n);
        }
        if (place.state == State::Down)
            return;
        id = place.replica->id();
        sequence = ++place.sequence;
        isLeaving = place.state == State::Leaving;
    }
    const std::size_t to =
            std::uniform_int_distribution<std::size_t>(0, m_bed->controls.size() - 1)(m_rng);
    const int status = harness::announce(m_bed->controls[to].outside, id, serviceOf(n),
                                         m_bed->replicaOutside[n], sequence, isLeaving);
    const std::lock_guard guard(m_mutex);
    Place &place = m_places[n];
    if (isLeaving && status == 200 && !place.isHeard && place.replica
        && place.replica->id() == id) {
        place.isHeard = true;
        m_history->add(LeaveRecord{id, base::monotonicNow()});
    }
}

void ReplicaPool::work()
{
    while (!m_isStopping) {
        const base::TimePoint next = base::monotonicNow() + kBeat;
        for (std::size_t n = 0; n < m_places.size() && !m_isStopping; ++n)
            tick(n, base::monotonicNow());
        while (!m_isStopping && base::monotonicNow() < next)
            std::this_thread::sleep_for(base::Millis(20));
    }
}

std::vector<harness::Run> ReplicaPool::runs() const
{
    std::vector<harness::Run> all = m_formerRuns;
    for (const Place &place : m_places) {
        if (!place.replica)
            continue;
        const auto runs = place.replica->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

std::size_t ReplicaPool::reservations() const
{
    std::size_t count = 0;
    for (const Place &place : m_places)
        count += place.replica ? place.replica->reservations(base::monotonicNow()) : 0;
    return count;
}

} // namespace hyssop::platformsoak
