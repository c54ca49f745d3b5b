#include "Faults.h"

#include <array>
#include <csignal>
#include <iostream>

namespace hyssop::platformsoak {

using harness::PlatformHost;

namespace {

/// Between two faults; most last longer, so that they overlap.
constexpr std::int64_t kLeastPauseMs = 200;
constexpr std::int64_t kMostPauseMs = 1'500;
constexpr std::int64_t kLeastFaultMs = 300;
constexpr std::int64_t kMostFaultMs = 4'000;
/// Time to stop, from the settings, and room for a busy machine.
constexpr base::Millis kStopLimit{8'000};
constexpr base::Millis kStopSlack{1'000};
/// A control host without its disk has caught up after this.
constexpr base::Millis kCatchUp{6'000};
/// Files of a full disk; a snapshot of the group's state is larger.
constexpr std::int64_t kFullDiskBytes = 512;

constexpr std::array<std::string_view, static_cast<std::size_t>(Fault::Last) + 1> kNames{
        "kill_entry",   "stop_entry",     "freeze_entry",      "kill_control",
        "stop_control", "freeze_control", "kill_all_controls", "wipe_control",
        "fill_disk",    "crash_replica",  "leave_replica",     "slow_links",
        "reset_links",  "silence_link",   "cut_link",          "reload"};

} // namespace

std::string_view faultName(Fault fault)
{
    return kNames.at(static_cast<std::size_t>(fault));
}

FaultDriver::FaultDriver(harness::PlatformBed *bed, ReplicaPool *replicas, History *history,
                         std::uint64_t seed)
    : m_bed(bed)
    , m_replicas(replicas)
    , m_history(history)
    , m_rng(seed)
    , m_uplinkRng(seed + 7)
{ }

bool FaultDriver::isFree(const std::string &target) const
{
    for (const Active &it : m_active) {
        if (it.target == target)
            return false;
        for (const PlatformHost *host : it.hosts) {
            if (host->name == target)
                return false;
        }
    }
    return true;
}

PlatformHost *FaultDriver::drawFree(std::vector<PlatformHost> &hosts)
{
    PlatformHost &host = hosts[draw<std::size_t>(0, hosts.size() - 1)];
    return isFree(host.name) ? &host : nullptr;
}

void FaultDriver::tick(base::TimePoint now)
{
    std::erase_if(m_active, [&](Active &it) { return advance(it, now); });
    lookAtProcesses();
    tickUplinks(now);
    if (m_isStopping || now < m_nextAt)
        return;
    m_nextAt = now + base::Millis(draw(kLeastPauseMs, kMostPauseMs));
    begin(now);
}

void FaultDriver::goOn(FaultChoice choice)
{
    m_choice = choice;
    m_isStopping = false;
}

void FaultDriver::tickUplinks(base::TimePoint now)
{
    std::erase_if(m_uplinkCuts, [&](const UplinkCut &it) {
        if (now < it.until)
            return false;
        if (it.entry->process)
            m_bed->setUplinks(*it.entry, harness::Uplinks::Open);
        m_history->add(FaultRecord{it.entry->name, false, it.from, now, true});
        return true;
    });
    if (m_isStopping || m_choice == FaultChoice::Planned || now < m_nextUplinkCutAt)
        return;
    const auto drawMs = [this](std::int64_t least, std::int64_t most) {
        return base::Millis(std::uniform_int_distribution<std::int64_t>(least, most)(m_uplinkRng));
    };
    m_nextUplinkCutAt = now + drawMs(kLeastPauseMs, 2 * kMostPauseMs);
    PlatformHost &entry = m_bed->entries[m_uplinkRng() % m_bed->entries.size()];
    constexpr std::array kManners{harness::Uplinks::Reset, harness::Uplinks::Silent,
                                  harness::Uplinks::NoNew};
    const bool isCut = std::any_of(m_uplinkCuts.begin(), m_uplinkCuts.end(),
                                   [&entry](const UplinkCut &it) { return it.entry == &entry; });
    if (isCut || !entry.process)
        return;
    std::cout << "cut_uplinks " << entry.name << '\n';
    m_bed->setUplinks(entry, kManners[m_uplinkRng() % kManners.size()]);
    m_uplinkCuts.push_back({&entry, now, now + drawMs(kLeastFaultMs, kMostFaultMs)});
}

void FaultDriver::begin(base::TimePoint now)
{
    constexpr std::array kPlanned{Fault::StopEntry, Fault::StopControl, Fault::Reload};
    const bool isPlannedOnly = m_choice == FaultChoice::Planned;
    const auto fault = isPlannedOnly ? kPlanned.at(draw<std::size_t>(0, kPlanned.size() - 1))
                                     : static_cast<Fault>(draw(0, static_cast<int>(Fault::Last)));
    const bool isControlStopped =
            std::any_of(m_active.begin(), m_active.end(),
                        [](const Active &it) { return it.fault == Fault::StopControl; });
    if (isPlannedOnly && fault == Fault::StopControl && isControlStopped)
        return;
    switch (fault) {
    case Fault::KillEntry:
    case Fault::StopEntry:
    case Fault::FreezeEntry:
        if (PlatformHost *host = drawFree(m_bed->entries))
            beginOnHosts(fault, {host}, now);
        return;
    case Fault::WipeControl:
    case Fault::FillDisk:
        if (now < m_diskLossFrom)
            return;
        [[fallthrough]];
    case Fault::KillControl:
    case Fault::StopControl:
    case Fault::FreezeControl:
        if (PlatformHost *host = drawFree(m_bed->controls))
            beginOnHosts(fault, {host}, now);
        return;
    case Fault::KillAllControls: {
        std::vector<PlatformHost *> all;
        for (PlatformHost &it : m_bed->controls) {
            if (!isFree(it.name))
                return;
            all.push_back(&it);
        }
        return beginOnHosts(fault, std::move(all), now);
    }
    case Fault::CrashReplica:
        return m_replicas->crash(draw<std::size_t>(0, m_replicas->size() - 1),
                                 base::Millis(draw(kLeastFaultMs, kMostFaultMs)));
    case Fault::LeaveReplica:
        return m_replicas->leave(draw<std::size_t>(0, m_replicas->size() - 1));
    case Fault::SlowLinks:
    case Fault::ResetLinks:
    case Fault::SilenceLink:
    case Fault::CutLink:
        return beginOnLink(fault, now);
    case Fault::Reload:
        return reload(now);
    }
}

void FaultDriver::beginOnHosts(Fault fault, std::vector<PlatformHost *> hosts, base::TimePoint now)
{
    Active active{fault,
                  {},
                  std::move(hosts),
                  now,
                  now + base::Millis(draw(kLeastFaultMs, kMostFaultMs))};
    for (PlatformHost *host : active.hosts) {
        std::cout << faultName(fault) << " " << host->name << '\n';
        switch (fault) {
        case Fault::StopEntry:
        case Fault::StopControl:
            host->process->signal(SIGTERM);
            active.isStopping = true;
            active.until = now + kStopLimit + kStopSlack;
            break;
        case Fault::FreezeEntry:
        case Fault::FreezeControl:
            host->process->signal(SIGSTOP);
            break;
        case Fault::WipeControl:
            m_bed->wipe(*host);
            m_diskLossFrom = active.until + kCatchUp;
            break;
        case Fault::FillDisk:
            host->process.reset();
            m_bed->start(*host, kFullDiskBytes);
            m_diskLossFrom = active.until + kCatchUp;
            break;
        default:
            host->process.reset();
            break;
        }
    }
    m_active.push_back(std::move(active));
}

void FaultDriver::beginOnLink(Fault fault, base::TimePoint now)
{
    const bool isReplica = draw(0, 1) == 0;
    const bool isEntry = draw(0, 1) == 0;
    const auto pick = [this](std::size_t n) { return std::to_string(draw<std::size_t>(0, n - 1)); };
    const std::string to = isReplica ? "replica-" + pick(m_replicas->size())
                           : isEntry ? "entry-" + pick(m_bed->entries.size())
                                     : "control-" + pick(m_bed->controls.size());
    const std::string link = "link " + to;
    if (!isFree(link))
        return;
    std::cout << faultName(fault) << " " << to << '\n';
    nlohmann::json order{{"action", "rules"}};
    if (fault == Fault::ResetLinks)
        order = {{"action", "reset"}};
    else if (fault == Fault::SlowLinks)
        order["delayMs"] = draw(20, 300);
    else
        order["drop"] = true;
    if (fault == Fault::SilenceLink)
        order["direction"] = draw(0, 1) == 0 ? "forward" : "backward";
    m_bed->faults().order("", to, order);
    m_active.push_back(
            {fault, link, {}, now, now + base::Millis(draw(kLeastFaultMs, kMostFaultMs))});
}

void FaultDriver::reload(base::TimePoint now)
{
    std::cout << faultName(Fault::Reload) << '\n';
    const std::string mark = std::to_string(++m_marks);
    for (std::vector<PlatformHost> *hosts : {&m_bed->entries, &m_bed->controls}) {
        for (PlatformHost &host : *hosts) {
            if (!isFree(host.name))
                continue;
            m_bed->rewriteSettings(host, mark);
            if (draw(0, 1) == 0)
                continue;
            host.process->signal(SIGHUP);
            m_history->add(FaultRecord{host.name, true, now, now});
        }
    }
}

bool FaultDriver::advance(Active &it, base::TimePoint now)
{
    if (it.isStopping && !it.hosts.front()->process->isRunning())
        endStop(it, now);
    if (now < it.until)
        return false;
    if (it.isStopping)
        endStop(it, now);
    std::string target = it.target.empty() ? "" : it.target.substr(std::string("link ").size());
    if (it.hosts.empty()) {
        m_bed->faults().heal("", target);
        m_history->add(FaultRecord{target, false, it.from, now});
        return true;
    }
    const bool isFrozen = it.fault == Fault::FreezeEntry || it.fault == Fault::FreezeControl;
    for (PlatformHost *host : it.hosts) {
        const bool isPlanned = it.fault == Fault::StopEntry || it.fault == Fault::StopControl;
        if (isFrozen) {
            host->process->signal(SIGCONT);
        } else {
            host->process.reset();
            if (isPlanned)
                m_bed->changeBuild(*host);
            m_bed->start(*host);
        }
        m_history->add(FaultRecord{host->name, isPlanned, it.from, now});
    }
    return true;
}

void FaultDriver::endStop(Active &it, base::TimePoint now)
{
    PlatformHost &host = *it.hosts.front();
    it.isStopping = false;
    ++m_stops;
    const auto exit =
            host.process->isRunning() ? std::nullopt : host.process->wait(base::Millis(0));
    if (!exit || exit->code != 0)
        m_badStops.push_back(host.name
                             + (exit ? " ended with code " + std::to_string(exit->code)
                                                + ", signal " + std::to_string(exit->signal)
                                     : " did not end in time"));
    it.until = now;
}

void FaultDriver::lookAtProcesses()
{
    for (std::vector<PlatformHost> *hosts : {&m_bed->entries, &m_bed->controls}) {
        for (PlatformHost &host : *hosts) {
            if (!isFree(host.name) || !host.process || host.process->isRunning())
                continue;
            const auto exit = host.process->wait(base::Millis(0));
            m_unexpectedEnds.push_back(host.name + " ended with code " + std::to_string(exit->code)
                                       + ", signal " + std::to_string(exit->signal));
            m_bed->start(host);
        }
    }
}

} // namespace hyssop::platformsoak
