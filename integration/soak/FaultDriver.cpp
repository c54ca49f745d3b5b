#include "FaultDriver.h"

#include <fmt/format.h>

#include <csignal>

namespace hyssop::soak {

using harness::Host;
using harness::Promise;
using harness::Role;

namespace {

/// Time until the balancer sends no new calls to a host that died or is stopping.
constexpr base::Millis kBalancerLag{500};
/// Every request of the load has ended long before this; a stop that lasts longer hangs.
constexpr base::Millis kStopLimit{60'000};
constexpr base::Millis kReadyInterval{200};
constexpr base::Millis kSlowDelay{150};
/// Links of the data centres; only one fault of the network between them at a time.
constexpr const char *kNetwork = "network";

bool isPlannedStop(Fault fault)
{
    return fault == Fault::StopEntry || fault == Fault::StopControl || fault == Fault::StopEngine
           || fault == Fault::StopService;
}

bool isFreeze(Fault fault)
{
    return fault == Fault::FreezeEntry || fault == Fault::FreezeControl
           || fault == Fault::FreezeEngine;
}

bool isOfNetwork(Fault fault)
{
    return fault == Fault::CutOff || fault == Fault::Silence || fault == Fault::SlowLinks;
}

} // namespace

FaultDriver::FaultDriver(harness::System *system, SoakLoad *load, ConfigurationWatch *configuration,
                         harness::Scorecard *scorecard)
    : m_system(system)
    , m_load(load)
    , m_configuration(configuration)
    , m_scorecard(scorecard)
{ }

bool FaultDriver::begin(const FaultStep &step, base::TimePoint now)
{
    const bool isOnLinks = isOfNetwork(step.fault) || step.fault == Fault::CutUpstream
                           || step.fault == Fault::ResetUpstream;
    bool hasBegun = false;
    if (isOnLinks) {
        hasBegun = beginOnLinks(step, now);
    } else if (!m_hosts.contains(step.target)) {
        beginOnHost(step, m_system->host(step.target), now);
        hasBegun = true;
    }
    base::logEvent(hasBegun ? "fault" : "fault_skipped", {{"fault", faultName(step.fault)},
                                                          {"target", step.target},
                                                          {"ms", step.duration.count()}});
    return hasBegun;
}

bool FaultDriver::beginOnLinks(const FaultStep &step, base::TimePoint now)
{
    if (step.fault == Fault::ResetUpstream) {
        m_system->faults().order("entries", step.target, {{"action", "reset"}});
        return true;
    }
    const std::string name = isOfNetwork(step.fault) ? kNetwork : step.target;
    if (m_links.contains(name))
        return false;
    if (step.fault == Fault::CutUpstream)
        m_system->faults().cut("entries", step.target);
    else if (step.fault == Fault::CutOff)
        m_system->cutOff(step.target);
    else if (step.fault == Fault::Silence)
        m_system->silence(step.target);
    else
        m_system->slowDown(step.target, kSlowDelay);
    m_links[name] = {step, now + step.duration};
    return true;
}

void FaultDriver::endOnLinks(const FaultStep &step)
{
    if (isOfNetwork(step.fault))
        m_system->reconnect(step.target);
    else
        m_system->faults().heal("entries", step.target);
    base::logEvent("fault_over", {{"fault", faultName(step.fault)}, {"target", step.target}});
}

void FaultDriver::beginOnHost(const FaultStep &step, Host &host, base::TimePoint now)
{
    HostFault it;
    it.host = &host;
    it.fault = step.fault;
    it.since = now;
    it.until = now + step.duration;
    it.downFor = step.duration;
    const bool isEntry = host.role == Role::Entry;
    if (isPlannedStop(step.fault)) {
        it.phase = Phase::Stopping;
        if (isEntry)
            m_load->expectGracefulStop(host);
        host.process->signal(SIGTERM);
    } else if (isFreeze(step.fault)) {
        it.phase = Phase::Frozen;
        host.process->signal(SIGSTOP);
    } else {
        if (isEntry)
            m_load->expectBreaks(host);
        m_system->kill(host);
    }
    m_hosts.emplace(host.name, std::move(it));
}

void FaultDriver::tick(base::TimePoint now)
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto &[step, until] = it->second;
        if (until > now) {
            ++it;
            continue;
        }
        endOnLinks(step);
        it = m_links.erase(it);
    }
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        if (advance(it->second, now))
            it = m_hosts.erase(it);
        else
            ++it;
    }
    reportReach(now);
}

bool FaultDriver::advance(HostFault &it, base::TimePoint now)
{
    const bool isEntry = it.host->role == Role::Entry;
    if (isEntry && !it.isOut && it.phase != Phase::Frozen && now - it.since >= kBalancerLag) {
        it.isOut = true;
        m_load->takeOut(*it.host);
    }
    switch (it.phase) {
    case Phase::Stopping:
        checkExit(it, now);
        return false;
    case Phase::Down:
        if (now >= it.until)
            restart(it, now);
        return false;
    case Phase::Frozen:
        if (now < it.until)
            return false;
        it.host->process->signal(SIGCONT);
        base::logEvent("fault_over", {{"fault", faultName(it.fault)}, {"target", it.host->name}});
        return true;
    case Phase::Starting:
        break;
    }
    if (!isServing(it, now))
        return false;
    base::logEvent("fault_over", {{"fault", faultName(it.fault)}, {"target", it.host->name}});
    if (isEntry)
        m_load->putBack(*it.host);
    return true;
}

void FaultDriver::checkExit(HostFault &it, base::TimePoint now)
{
    const bool isRunning = it.host->process->isRunning();
    if (isRunning && now - it.since < kStopLimit)
        return;
    const bool isOfProduct = it.host->role == Role::Entry || it.host->role == Role::Control;
    const harness::Exit exit =
            isRunning ? harness::Exit() : it.host->process->wait(base::Millis(0)).value();
    if (isOfProduct) {
        m_scorecard->check(Promise::GracefulStop, !isRunning && exit.code == 0 && exit.signal == 0,
                           fmt::format("{} ended with code {} signal {}, running {}", it.host->name,
                                       exit.code, exit.signal, isRunning));
    }
    if (isRunning)
        m_system->kill(*it.host);
    it.phase = Phase::Down;
    it.until = now + it.downFor;
}

void FaultDriver::restart(HostFault &it, base::TimePoint now)
{
    Host &host = *it.host;
    m_system->start(host);
    it.phase = Phase::Starting;
    if (host.role == Role::Entry)
        m_configuration->restarted(host, now);
    const bool isUpstream = host.role == Role::Engine || host.role == Role::Service;
    const std::string path = host.role == Role::Service ? "/v1/runs" : "/v1/stats";
    it.ready.emplace(&m_system->client(), isUpstream ? host.serves : host.platform,
                     isUpstream ? path : "/ready", kReadyInterval);
}

bool FaultDriver::isServing(HostFault &it, base::TimePoint now)
{
    const auto reading = it.ready->tick(now);
    return reading && reading->answer.status == 200;
}

bool FaultDriver::isApart(const std::string &dataCentre) const
{
    const auto it = m_links.find(kNetwork);
    return it != m_links.end() && it->second.first.fault != Fault::SlowLinks
           && it->second.first.target == dataCentre;
}

void FaultDriver::reportReach(base::TimePoint now)
{
    const auto controls = m_system->hosts(Role::Control);
    const auto inReach = std::count_if(controls.begin(), controls.end(), [&](const Host *it) {
        return !m_hosts.contains(it->name) && !isApart(it->dataCentre);
    });
    const bool hasMajority = 2 * inReach > static_cast<std::ptrdiff_t>(controls.size());
    for (const Host *entry : m_system->hosts(Role::Entry)) {
        const auto fault = m_hosts.find(entry->name);
        const bool isUp = fault == m_hosts.end() || fault->second.phase == Phase::Starting;
        const bool isReachable = isUp && hasMajority && !isApart(entry->dataCentre);
        m_configuration->setReachable(*entry, isReachable, now);
    }
}

std::string FaultDriver::text() const
{
    std::string text;
    for (const auto &[name, it] : m_hosts)
        text += fmt::format("{} is under {}\n", name, faultName(it.fault));
    for (const auto &[name, it] : m_links)
        text += fmt::format("{} is under {}\n", name, faultName(it.first.fault));
    return text;
}

} // namespace hyssop::soak
