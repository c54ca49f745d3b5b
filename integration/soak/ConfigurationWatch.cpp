#include "ConfigurationWatch.h"

#include <fmt/format.h>

namespace hyssop::soak {

using harness::Answer;
using harness::Host;
using harness::Promise;
using harness::Role;
using nlohmann::json;

namespace {

/// The stated target for a change to be in force.
constexpr base::Millis kInForceLimit{18'000};
constexpr base::Millis kPollInterval{300};
constexpr base::Millis kChangeInterval{1'500};
constexpr int kTeams = 5;
constexpr int kMaxWeight = 9;

} // namespace

ConfigurationWatch::ConfigurationWatch(harness::System *system, harness::Scorecard *scorecard,
                                       std::uint64_t seed)
    : m_system(system)
    , m_scorecard(scorecard)
    , m_seed(seed)
    , m_rng(seed)
{
    for (const Host *entry : system->hosts(Role::Entry)) {
        Poll poll(&system->client(), entry->platform, "/metrics", kPollInterval);
        m_entries.emplace(entry->name, Observed{std::move(poll), 0, 0, std::nullopt, {}});
    }
}

void ConfigurationWatch::setReachable(const Host &entry, bool isReachable, base::TimePoint now)
{
    Observed &host = m_entries.at(entry.name);
    if (!isReachable)
        host.reachableSince.reset();
    else if (!host.reachableSince)
        host.reachableSince = now;
}

void ConfigurationWatch::restarted(const Host &entry, base::TimePoint now)
{
    Observed &host = m_entries.at(entry.name);
    host.inThisProcess = 0;
    host.started = now;
}

void ConfigurationWatch::tick(base::TimePoint now)
{
    if (m_change) {
        readVerdict(now);
    } else if (!m_isPaused && m_nextChange <= now) {
        m_nextChange = now + kChangeInterval;
        startChange();
    }
    for (auto &[name, host] : m_entries) {
        const auto reading = host.poll.tick(now);
        // Nothing that was asked of a former process counts for the present one.
        if (reading && reading->answer.status == 200 && reading->asked >= host.started)
            observe(name, host, *reading);
    }
}

void ConfigurationWatch::startChange()
{
    const std::string name = "soak-" + std::to_string(m_rng() % kTeams);
    const auto it = m_records.find(name);
    const std::int64_t version =
            it == m_records.end() ? 1 : it->second["version"].get<std::int64_t>() + 1;
    Change change;
    change.record = harness::team(name, version, {{"weight", 1 + m_rng() % kMaxWeight}});
    change.id = fmt::format("soak-{}-{}", m_seed, m_changes++);
    m_change = std::move(change);
    send();
}

void ConfigurationWatch::send()
{
    const auto controls = m_system->hosts(Role::Control);
    const Host &control = *controls[m_rng() % controls.size()];
    m_change->pending = harness::startPut(*m_system, control, m_change->record, m_change->id);
}

void ConfigurationWatch::readVerdict(base::TimePoint now)
{
    const Answer answer = m_change->pending.now();
    if (!answer.hasEnded())
        return;
    const auto reply = operators::putReplyFromJson(answer.body);
    if (!answer.isDone || !reply || reply->status == operators::PutStatus::Unavailable
        || reply->status == operators::PutStatus::Unknown) {
        // The verdict is open: the same change again.
        if (m_nextChange <= now) {
            m_nextChange = now + kChangeInterval;
            send();
        }
        return;
    }
    if (reply->status == operators::PutStatus::Accepted) {
        accept(*reply, now);
    } else {
        // There is one operator: only a change that reverted can be in the way.
        m_scorecard->check(Promise::ConfigurationHolds, false,
                           fmt::format("{} of {}: {} {}", m_change->id, m_change->record.dump(),
                                       operators::putStatusName(reply->status), reply->message));
    }
    m_change.reset();
}

void ConfigurationWatch::accept(const operators::PutReply &reply, base::TimePoint now)
{
    Accepted accepted{reply.logIndex, m_change->id, now, {}};
    for (const auto &[name, host] : m_entries)
        accepted.missing.insert(name);
    m_accepted.push_back(std::move(accepted));
    m_records[m_change->record["name"].get<std::string>()] = m_change->record;
}

void ConfigurationWatch::observe(const std::string &name, Observed &host,
                                 const Poll::Reading &reading)
{
    const std::string &metrics = reading.answer.body;
    const auto position =
            static_cast<std::int64_t>(harness::metricSum(metrics, "hyssop_records_index"));
    const bool isConfirmed = harness::metricSum(metrics, "hyssop_records_confirmed") > 0;
    if (position > 0) {
        // A process that started while it was cut off may hold older records if it says so.
        const bool mayBeStale =
                !isConfirmed && (!host.reachableSince || *host.reachableSince > host.started);
        const std::int64_t floor = mayBeStale ? host.inThisProcess : host.highest;
        m_scorecard->check(Promise::ConfigurationHolds, position >= floor,
                           fmt::format("{} fell from {} to {}, confirmed {}", name, floor, position,
                                       isConfirmed));
        host.inThisProcess = position;
        host.highest = std::max(host.highest, position);
    }
    checkInForce(name, host, reading.asked);
}

void ConfigurationWatch::checkInForce(const std::string &name, const Observed &host,
                                      base::TimePoint asked)
{
    for (Accepted &it : m_accepted) {
        if (!it.missing.contains(name))
            continue;
        const bool isInForce = host.inThisProcess >= it.position;
        const bool isLate = host.reachableSince
                            && asked - std::max(it.since, *host.reachableSince) > kInForceLimit;
        if (!isInForce && !isLate)
            continue;
        it.missing.erase(name);
        m_scorecard->check(Promise::ConfigurationHolds, isInForce,
                           fmt::format("{} at {} is not in force at {}, which is at {}", it.name,
                                       it.position, name, host.inThisProcess));
    }
    m_accepted.remove_if([](const Accepted &it) { return it.missing.empty(); });
}

void ConfigurationWatch::checkContents()
{
    // A control host that follows may hear of the last change later than the entry hosts.
    std::string difference;
    for (const Host *control : m_system->hosts(Role::Control)) {
        const bool isSame = harness::eventually(kInForceLimit, [&] {
            difference = differenceAt(*control);
            return difference.empty();
        });
        m_scorecard->check(Promise::ConfigurationHolds, isSame, difference);
    }
}

std::string ConfigurationWatch::differenceAt(const Host &control)
{
    const json body = m_system->client().get(control.operators, "/v1/records").json();
    if (!body.is_object())
        return control.name + " gave no records";
    std::map<std::string, json> found;
    for (const json &record : body.value("records", json::array()))
        found[record.value("name", "")] = record;
    for (const auto &[name, record] : m_records) {
        const json &held = found[name];
        if (!held.is_object() || held.value("version", 0) != record["version"]
            || held["spec"].value("weight", 0) != record["spec"]["weight"])
            return fmt::format("{} at {} is {}, accepted was {}", name, control.name, held.dump(),
                               record.dump());
    }
    return "";
}

std::string ConfigurationWatch::text() const
{
    std::string text = fmt::format("changes sent {}\n", m_changes);
    for (const auto &[name, host] : m_entries)
        text += fmt::format("{} at {}\n", name, host.inThisProcess);
    for (const Accepted &it : m_accepted)
        text += fmt::format("{} at {} is missing at {} hosts\n", it.name, it.position,
                            it.missing.size());
    return text;
}

} // namespace hyssop::soak
