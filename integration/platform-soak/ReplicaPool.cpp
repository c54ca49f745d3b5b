#include "ReplicaPool.h"

#include "Load.h"

#include <array>

namespace hyssop::platformsoak {

namespace {

constexpr base::Millis kBeat{1'000};
/// A leaving replica serves on for longer than any call may come.
constexpr base::Millis kLeaving{5'000};
/// Addresses are used again after this.
constexpr base::Millis kReuseAfter{2'200};
constexpr harness::ReplicaFaults kFaults{2, 1, 2};
/// Between two changes of limits; some last long enough to be checked.
constexpr std::int64_t kLeastLimitPauseMs = 300;
constexpr std::int64_t kMostLimitPauseMs = 2'500;
constexpr std::array<double, 6> kLimits{0, 0.2, 0.7, 1.8, 2.3, 6};
/// Changes that drop a limit, in percent.
constexpr int kDrops = 15;
/// Crashes after which a replica starts again under its id, in percent.
constexpr int kSameIds = 50;
/// Silences of a sound replica, and the time from one to the next.
constexpr std::int64_t kLeastSilenceMs = 900;
constexpr std::int64_t kMostSilenceMs = 1'300;
constexpr std::int64_t kLeastSilencePauseMs = 4'000;
constexpr std::int64_t kMostSilencePauseMs = 9'000;
/// Silences that meet all replicas at once, and those beside which another replica answers resumed
/// streams with errors; in percent.
constexpr int kCommonSilences = 15;
constexpr int kResumeErrors = 60;
/// Of these, those beside which it turns away all that comes, in percent.
constexpr int kTurnsAway = 30;
constexpr std::array kResumeStatuses{404, 500, 503};
constexpr std::int64_t kLeastResumeErrorsMs = 1'000;
constexpr std::int64_t kMostResumeErrorsMs = 4'000;

} // namespace

ReplicaPool::ReplicaPool(const harness::PlatformBed *bed, History *history, std::uint64_t seed)
    : m_bed(bed)
    , m_history(history)
    , m_rng(seed)
    , m_places(bed->replicaListen.size())
    , m_limitRng(seed)
    , m_silenceRng(seed + 8)
{
    std::uniform_int_distribution<std::int64_t> pause(0, kLeastSilencePauseMs);
    for (std::size_t n = 0; n < m_places.size(); ++n) {
        startAt(n);
        m_places[n].nextSilenceAt = base::monotonicNow() + base::Millis(pause(m_silenceRng));
    }
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
    if (!std::exchange(place.keepsId, false))
        place.id = "i-" + std::to_string(++m_lastId);
    place.replica =
            std::make_unique<harness::Replica>(place.id, m_bed->replicaListen[n], kFaults, m_rng());
    place.replica->crashOn(deadlyTriggers());
    place.incarnation = std::chrono::duration_cast<base::Millis>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    place.sequence = 0;
    place.state = State::Serving;
    place.isHeard = false;
}

harness::ReplicaTraffic ReplicaPool::trafficOf(const Place &place, std::size_t n)
{
    harness::ReplicaTraffic traffic = place.replica->traffic();
    traffic.replica = "replica-" + std::to_string(n) + "/" + place.id;
    return traffic;
}

void ReplicaPool::retire(std::size_t n)
{
    Place &place = m_places[n];
    m_formerTraffic.push_back(trafficOf(place, n));
    m_formerTraffic.back().endedAt = base::monotonicNow();
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
    takeDown(n, down, now);
    m_history->add(FaultRecord{"replica-" + std::to_string(n), false, now, place.until});
}

bool ReplicaPool::isWhole() const
{
    const std::lock_guard guard(m_mutex);
    return std::none_of(m_places.begin(), m_places.end(),
                        [](const Place &it) { return it.state == State::Down; });
}

harness::CrashTriggers ReplicaPool::deadlyTriggers()
{
    return {{kDeadlyPart}, {teamOf(0) + " " + kDeadlyTarget + " "}};
}

void ReplicaPool::takeDownCrashed(base::TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    for (std::size_t n = 0; n < m_places.size(); ++n) {
        const auto &replica = m_places[n].replica;
        const std::string request = replica ? replica->crashedBy() : "";
        if (request.empty())
            continue;
        m_deadlyCrashes.push_back({replica->id(), request, now});
        takeDown(n, kReuseAfter, now);
    }
}

void ReplicaPool::takeDown(std::size_t n, base::Millis down, base::TimePoint now)
{
    Place &place = m_places[n];
    retire(n);
    place.keepsId = std::uniform_int_distribution<int>(0, 99)(m_limitRng) < kSameIds;
    place.state = State::Down;
    place.until = now + std::max(down, kReuseAfter);
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
    std::int64_t incarnation = 0;
    bool isLeaving = false;
    {
        const std::lock_guard guard(m_mutex);
        Place &place = m_places[n];
        if (place.state != State::Serving && now >= place.until) {
            if (place.state == State::Leaving) {
                retire(n);
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
        incarnation = place.incarnation;
        isLeaving = place.state == State::Leaving;
    }
    const std::size_t to =
            std::uniform_int_distribution<std::size_t>(0, m_bed->controls.size() - 1)(m_rng);
    const int status =
            harness::announce(m_bed->controls[to].outside, id, serviceOf(n),
                              m_bed->replicaOutside[n], sequence, isLeaving, incarnation);
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
        while (!m_isStopping && base::monotonicNow() < next) {
            changeLimit(base::monotonicNow());
            beginSilences(base::monotonicNow());
            takeDownCrashed(base::monotonicNow());
            std::this_thread::sleep_for(base::Millis(5));
        }
    }
}

void ReplicaPool::changeLimit(base::TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    if (m_areLimitsOver || now < m_nextLimitAt)
        return;
    const auto draw = [this](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_limitRng);
    };
    m_nextLimitAt = now + base::Millis(draw(kLeastLimitPauseMs, kMostLimitPauseMs));
    Place &place = m_places[static_cast<std::size_t>(
            draw(0, static_cast<std::int64_t>(m_places.size()) - 1))];
    const bool isDropped = draw(0, 99) < kDrops;
    const double limit = kLimits.at(static_cast<std::size_t>(draw(0, kLimits.size() - 1)));
    if (place.replica)
        place.replica->limitRequests(isDropped ? std::nullopt : std::optional(limit));
}

void ReplicaPool::beginSilences(base::TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    const auto draw = [this](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_silenceRng);
    };
    for (Place &place : m_places) {
        if (place.replica && place.resumesFrom <= now) {
            place.replica->answerResumes(std::nullopt);
            place.replica->turnAway(std::nullopt);
        }
        if (now < place.nextSilenceAt)
            continue;
        const bool isCommon = draw(0, 99) < kCommonSilences;
        for (Place &it : m_places) {
            const bool hasRested = now >= it.silentFrom + base::Millis(kLeastSilencePauseMs);
            if (&it != &place && (!isCommon || !hasRested))
                continue;
            const base::Millis silence(draw(kLeastSilenceMs, kMostSilenceMs));
            it.silentFrom = now;
            it.nextSilenceAt = now + base::Millis(draw(kLeastSilencePauseMs, kMostSilencePauseMs));
            if (it.replica)
                it.replica->fallSilent(silence);
        }
        if (draw(0, 99) >= kResumeErrors || m_areRefusalsOver)
            continue;
        // Those at odd places have streams.
        const std::int64_t engine = draw(0, static_cast<std::int64_t>(m_places.size()) / 2 - 1);
        Place &other = m_places[static_cast<std::size_t>(2 * engine + 1)];
        const auto status = static_cast<std::size_t>(draw(0, kResumeStatuses.size() - 1));
        other.resumesFrom = now + base::Millis(draw(kLeastResumeErrorsMs, kMostResumeErrorsMs));
        if (other.replica && draw(0, 99) < kTurnsAway)
            other.replica->turnAway(base::Millis(0));
        else if (other.replica)
            other.replica->answerResumes(kResumeStatuses.at(status));
    }
}

void ReplicaPool::dropLimits()
{
    const std::lock_guard guard(m_mutex);
    m_areLimitsOver = true;
    for (Place &it : m_places) {
        if (it.replica)
            it.replica->limitRequests(std::nullopt);
    }
}

void ReplicaPool::stopRefusals()
{
    const std::lock_guard guard(m_mutex);
    m_areRefusalsOver = true;
    for (Place &it : m_places)
        it.resumesFrom = {};
}

std::vector<harness::ReplicaTraffic> ReplicaPool::traffic() const
{
    std::vector<harness::ReplicaTraffic> all = m_formerTraffic;
    for (std::size_t n = 0; n < m_places.size(); ++n) {
        if (m_places[n].replica)
            all.push_back(trafficOf(m_places[n], n));
    }
    return all;
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
