#include "PlatformBed.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace hyssop::harness {

namespace {

/// Slots that replicas announce.
constexpr int kSlots = 16;
/// A retry of the operator.
constexpr base::Millis kPutPause{100};

std::string dataCentreOf(std::size_t n)
{
    return n % 2 == 0 ? "floro-sal" : "forde-sal";
}

} // namespace

PlatformBed::PlatformBed(const PlatformPlan &plan)
    : m_plannedFolder(plan.folder)
    , m_addedSettings(plan.settings)
    , m_hasFaultLinks(plan.hasFaultLinks)
    , m_uplinkGate(plan.hasUplinkGate ? std::make_unique<UplinkGate>() : nullptr)
{
    std::string folder =
            (std::filesystem::temp_directory_path() / "hyssop-platform-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()));
    m_folder = folder;
    if (plan.memoryMb > 0)
        m_limits =
                fmt::format("Limits:\n  MemoryMb: {}\n  MaxFds: {}\n", plan.memoryMb, plan.maxFds);
    const auto add = [this, &plan](std::vector<PlatformHost> &to, const std::string &program,
                                   const std::string &name) {
        PlatformHost host;
        host.name = name;
        host.program = program;
        host.folder = plan.folder;
        host.settings = m_folder / (name + ".yaml");
        host.log = m_folder / (name + ".log");
        host.ip = m_addresses.nextHost();
        host.listen = m_addresses.nextEndpoint(host.ip);
        host.outside = linked("outside", name, host.listen);
        to.push_back(std::move(host));
    };
    for (std::size_t n = 0; n < plan.controls; ++n) {
        add(controls, "hyssop-platform-control", "control-" + std::to_string(n));
        controls.back().data = m_folder / ("data-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < plan.entries; ++n) {
        add(entries, "hyssop-platform-entry", "entry-" + std::to_string(n));
        entries.back().ready = m_addresses.nextEndpoint(entries.back().ip);
    }
    m_peerPort = m_addresses.nextEndpoint(controls.front().ip).port;
    for (std::size_t n = 0; n < plan.replicas; ++n) {
        replicaListen.push_back(m_addresses.nextEndpoint(m_addresses.nextHost()));
        replicaOutside.push_back(
                linked("entries", "replica-" + std::to_string(n), replicaListen.back()));
        if (m_uplinkGate) {
            const base::Endpoint gate = m_addresses.nextEndpoint(m_addresses.nextHost());
            m_uplinkGate->forward(gate, std::exchange(replicaOutside.back(), gate));
        }
    }
    if (m_hasFaultLinks)
        m_faults.start(&m_client, m_folder / "fault-proxy.log", m_addresses);
    for (PlatformHost &host : controls)
        start(host);
    for (PlatformHost &host : entries)
        start(host);
    m_isFirstStart = false;
}

PlatformBed::~PlatformBed()
{
    entries.clear();
    controls.clear();
    if (std::getenv("HYSSOP_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
}

base::Endpoint PlatformBed::linked(const std::string &from, const std::string &to,
                                   const base::Endpoint &target)
{
    return m_hasFaultLinks ? m_faults.link(from, to, target, m_addresses) : target;
}

std::string PlatformBed::settingsOf(const PlatformHost &host, const std::string &mark) const
{
    std::string seeds;
    for (const PlatformHost &it : controls)
        seeds += "  - \"" + it.listen.text() + "\"\n";
    const std::string listen = host.data.empty()
                                       ? fmt::format("  Front: \"{}\"\n  Ready: \"{}\"\n",
                                                     host.listen.text(), host.ready.text())
                                       : fmt::format("  Control: \"{}\"\n", host.listen.text());
    const std::string data = host.data.empty() ? "null" : '"' + host.data.string() + '"';
    const auto number = static_cast<std::size_t>(host.name.back() - '0');
    return fmt::format(
            "Node: \"{}\"\nIp: \"{}\"\nZone: \"{}\"\nListen:\n{}InternalPorts:\n  - {}\n  - {}\n"
            "Seeds:\n{}Bootstrap: {}\nDataDir: {}\nHeartbeatMs: 1200\nTolerate:\n"
            "  Machines: 1\nBounds:\n  RevokeMs: 5000\n  ConfigDeadlineMs: 2000\n"
            "  GraceS: 8\n{}Mark: \"{}\"\n{}",
            host.name, host.ip, dataCentreOf(number), listen, m_peerPort, m_peerPort + 1, seeds,
            m_isFirstStart, data, m_limits, mark, m_addedSettings);
}

void PlatformBed::rewriteSettings(const PlatformHost &host, const std::string &mark)
{
    std::ofstream(host.settings) << settingsOf(host, mark);
}

void PlatformBed::start(PlatformHost &host, std::int64_t maxFileBytes)
{
    // A killed process may still hold the host's ports.
    host.process.reset();
    rewriteSettings(host, "");
    ::setenv("HYSSOPSPAN_SETTINGS", host.settings.c_str(), 1);
    host.process = std::make_unique<Process>(
            ProcessOptions{(host.folder / host.program).string(), {}, host.log, maxFileBytes});
    if (m_uplinkGate && host.data.empty())
        setUplinks(host, Uplinks::Open);
}

void PlatformBed::setUplinks(const PlatformHost &entry, Uplinks uplinks)
{
    m_uplinkGate->set(entry.process->id(), uplinks);
}

void PlatformBed::wipe(PlatformHost &host)
{
    host.process.reset();
    std::filesystem::remove_all(host.data);
}

bool PlatformBed::isReady(const PlatformHost &entry) const
{
    return callOnce(entry.ready, "GET", "/api/ready").status == 200;
}

bool PlatformBed::put(std::size_t control, const std::string &manifest, base::Millis limit) const
{
    return eventually(limit, [&] {
        CallOptions options;
        options.body = manifest;
        options.limit = base::Millis(1'000);
        if (callOnce(controls[control].outside, "POST", "/api/config/put", options).status == 200)
            return true;
        std::this_thread::sleep_for(kPutPause);
        return false;
    });
}

int announce(const base::Endpoint &control, const std::string &id, const std::string &service,
             const base::Endpoint &address, std::int64_t sequence, bool isLeaving,
             std::int64_t incarnation, const std::string &dataCentre, base::Millis coldRemaining)
{
    CallOptions options;
    options.limit = base::Millis(1'000);
    options.body =
            fmt::format(R"({{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},)"
                        R"("State":"{}","ColdRemainingMs":{},"Seq":{}{}}})",
                        service, address.text(), dataCentre, kSlots,
                        isLeaving ? "draining" : "ready", coldRemaining.count(), sequence,
                        incarnation > 0 ? fmt::format(R"(,"born":{})", incarnation) : "");
    return callOnce(control, "POST", "/api/instances/" + id + "/heartbeat", options).status;
}

} // namespace hyssop::harness
