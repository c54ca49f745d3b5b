#include "System.h"

#include "Failures.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace hyssop::harness {

namespace {

constexpr base::Millis kReadyLimit{30'000};
constexpr std::size_t kShownLines = 15;
/// Bound on the lines shown of a sanitizer's report.
constexpr std::size_t kShownReportLines = 150;

std::filesystem::path makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "hyssop-test-XXXXXX").string();
    const char *made = ::mkdtemp(path.data());
    REQUIRE(made);
    return path;
}

/// What control and entry hosts are both told.
std::vector<std::string> hostArguments(const Host &host)
{
    return {"--host",         host.name,         "--data-centre",     host.dataCentre,
            "--listen-peers", host.peers.text(), "--listen-platform", host.platform.text()};
}

void append(std::vector<std::string> &to, const std::vector<std::string> &more)
{
    to.insert(to.end(), more.begin(), more.end());
}

std::string programOf(Role role)
{
    switch (role) {
    case Role::Control:
        return "hyssop-control";
    case Role::Entry:
        return "hyssop-entry";
    case Role::Engine:
        return "standin-engine";
    case Role::Service:
        break;
    }
    return "standin-service";
}

std::string commaSeparated(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : ",") + part;
    return text;
}

/// Whether a sanitizer's report begins here.
bool beginsReport(const std::string &line)
{
    return line.find("Sanitizer: ") != std::string::npos
           || line.find("runtime error: ") != std::string::npos;
}

void showEnd(const std::filesystem::path &log)
{
    std::ifstream file(log);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    std::cerr << "--- " << log.filename().string() << '\n';
    const auto report = std::find_if(lines.begin(), lines.end(), beginsReport);
    const bool hasReport = report != lines.end();
    const std::size_t end = lines.size() > kShownLines ? lines.size() - kShownLines : 0;
    const std::size_t from = hasReport ? static_cast<std::size_t>(report - lines.begin()) : end;
    const std::size_t to =
            hasReport ? std::min(lines.size(), from + kShownReportLines) : lines.size();
    for (std::size_t i = from; i < to; ++i)
        std::cerr << lines[i] << '\n';
}

void checkRuns(const std::string &name, Process *process)
{
    const std::optional<Exit> exit = process ? process->unexpectedExit() : std::nullopt;
    if (!exit)
        return;
    INFO(name << " ended by itself, exit code " << exit->code << " signal " << exit->signal);
    CHECK_FALSE(exit);
}

} // namespace

double metricSum(std::string_view text, std::string_view name, std::string_view label)
{
    double sum = 0;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const std::size_t space = line.rfind(' ');
        const std::string_view sample = line.substr(0, space);
        if (space != std::string_view::npos && sample.substr(0, sample.find('{')) == name
            && sample.find(label) != std::string_view::npos)
            sum += std::strtod(std::string(line.substr(space + 1)).c_str(), nullptr);
    }
    return sum;
}

System::System(Plan plan)
    : m_plan(std::move(plan))
    , m_folder(makeFolder())
{
    addHosts();
    for (const auto &host : m_hosts)
        writeArguments(*host);
    if (m_plan.hasFaultLinks)
        m_faults.start(&m_client, m_folder / "fault-proxy.log", m_addresses);
    for (const auto &host : m_hosts)
        start(*host);
}

System::~System()
{
    checkProcesses();
    if (hasFailures()) {
        showLogs();
        std::cerr << "logs are kept in " << m_folder.string() << '\n';
        return;
    }
    m_hosts.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void System::checkProcesses()
{
    for (const auto &host : m_hosts)
        checkRuns(host->name, host->process.get());
    checkRuns("fault-proxy", m_faults.process());
}

void System::showLogs() const
{
    if (m_faults.process())
        showEnd(m_folder / "fault-proxy.log");
    for (const auto &host : m_hosts)
        showEnd(m_folder / (host->name + ".log"));
}

Host &System::add(const std::string &name, const std::string &dataCentre, Role role)
{
    auto host = std::make_unique<Host>();
    host->name = name;
    host->dataCentre = dataCentre;
    host->role = role;
    const std::string address = m_addresses.nextHost();
    for (base::Endpoint *endpoint : {&host->peers, &host->platform, &host->callers,
                                     &host->upstreams, &host->operators, &host->serves})
        *endpoint = m_addresses.nextEndpoint(address);
    m_hosts.push_back(std::move(host));
    return *m_hosts.back();
}

void System::addHosts()
{
    int number = 0;
    for (const std::string &dataCentre : m_plan.dataCentres) {
        const std::string dc = std::to_string(++number);
        add("control-" + dc, dataCentre, Role::Control);
        for (int n = 1; n <= m_plan.entriesEach; ++n)
            add("entry-" + dc + "-" + std::to_string(n), dataCentre, Role::Entry);
        for (int n = 1; n <= m_plan.enginesEach; ++n)
            add("engine-" + dc + "-" + std::to_string(n), dataCentre, Role::Engine);
        for (int n = 1; n <= m_plan.servicesEach; ++n)
            add("service-" + dc + "-" + std::to_string(n), dataCentre, Role::Service);
    }
}

Host &System::host(const std::string &name)
{
    for (const auto &host : m_hosts) {
        if (host->name == name)
            return *host;
    }
    FAIL("no host is named " << name);
    return *m_hosts.front();
}

std::vector<Host *> System::hosts(Role role, const std::string &dataCentre)
{
    std::vector<Host *> found;
    for (const auto &host : m_hosts) {
        if (host->role == role && (dataCentre.empty() || host->dataCentre == dataCentre))
            found.push_back(host.get());
    }
    return found;
}

std::string System::reach(const Host &from, const Host &to)
{
    if (!m_plan.hasFaultLinks)
        return to.peers.text();
    std::string &address = m_reach[{from.name, to.name}];
    if (address.empty())
        address = m_faults.link(from.name, to.name, to.peers, m_addresses).text();
    return address;
}

std::vector<Host *> System::controlsNearestFirst(const Host &from)
{
    std::vector<Host *> controls = hosts(Role::Control);
    std::stable_partition(controls.begin(), controls.end(),
                          [&](const Host *it) { return it->dataCentre == from.dataCentre; });
    return controls;
}

void System::writeArguments(Host &host)
{
    switch (host.role) {
    case Role::Control:
        writeControl(host);
        break;
    case Role::Entry:
        writeEntry(host);
        break;
    case Role::Engine:
    case Role::Service:
        writeUpstream(host);
        break;
    }
}

void System::writeControl(Host &host)
{
    if (m_plan.hasFaultLinks)
        host.operatorsThrough = m_faults.link("operators", host.name, host.operators, m_addresses);
    std::vector<std::string> voters;
    for (Host *control : hosts(Role::Control)) {
        if (static_cast<int>(voters.size()) == m_plan.voters)
            break;
        const bool isSelf = control == &host;
        voters.push_back(control->name + "="
                         + (isSelf ? host.peers.text() : reach(host, *control)));
    }
    host.arguments = hostArguments(host);
    append(host.arguments, {"--data", (m_folder / host.name).string(), "--listen-operators",
                            host.operators.text(), "--global-voters", commaSeparated(voters)});
    append(host.arguments, m_plan.controlFlags);
}

void System::writeEntry(Host &host)
{
    std::vector<std::string> controls;
    for (Host *control : controlsNearestFirst(host))
        controls.push_back(reach(host, *control));
    std::vector<std::string> peers;
    for (Host *entry : hosts(Role::Entry, host.dataCentre)) {
        if (entry != &host)
            peers.push_back(reach(host, *entry));
    }
    host.arguments = hostArguments(host);
    append(host.arguments,
           {"--listen-callers", host.callers.text(), "--listen-upstreams", host.upstreams.text(),
            "--controls", commaSeparated(controls), "--peers", commaSeparated(peers)});
    // Addresses that entries tell each other lead past the fault proxy.
    if (m_plan.hasFaultLinks)
        append(host.arguments, {"--peer-discovery", "settings"});
    append(host.arguments, m_plan.entryFlags);
}

void System::writeUpstream(Host &host)
{
    std::vector<std::string> entries;
    for (Host *entry : hosts(Role::Entry, host.dataCentre))
        entries.push_back(entry->upstreams.text());
    host.arguments = {"--id",     host.name,          "--data-centre", host.dataCentre,
                      "--listen", host.serves.text(), "--entries",     commaSeparated(entries)};
    if (m_plan.hasFaultLinks) {
        const base::Endpoint through =
                m_faults.link("entries", host.name, host.serves, m_addresses);
        append(host.arguments, {"--announce-address", through.text()});
    }
    if (host.role == Role::Engine) {
        append(host.arguments, {"--model", m_plan.model});
        append(host.arguments, m_plan.engineFlags);
    } else {
        append(host.arguments, {"--service", m_plan.service});
        append(host.arguments, m_plan.serviceFlags);
    }
}

void System::start(Host &host, std::int64_t maxFileBytes)
{
    host.process = std::make_unique<Process>(ProcessOptions{
            programOf(host.role), host.arguments, m_folder / (host.name + ".log"), maxFileBytes});
}

void System::kill(Host &host)
{
    host.process->signal(SIGKILL);
    REQUIRE(host.process->wait(kReadyLimit));
}

void System::stop(Host &host, base::Millis limit)
{
    host.process->signal(SIGTERM);
    const std::optional<Exit> exit = host.process->wait(limit);
    INFO(host.name);
    REQUIRE(exit);
    CHECK(exit->signal == 0);
    CHECK(exit->code == 0);
}

void System::awaitReady(Host &host)
{
    const bool isUpstream = host.role == Role::Engine || host.role == Role::Service;
    // A service counts whatever else it is asked as a run.
    const std::string path = host.role == Role::Service ? "/v1/runs" : "/v1/stats";
    INFO(host.name);
    REQUIRE(eventually(kReadyLimit, [&] {
        return isUpstream ? m_client.get(host.serves, path).status != 0
                          : m_client.get(host.platform, "/ready").status == 200;
    }));
}

void System::awaitUpstreams(const std::string &dataCentre, int count)
{
    for (Host *entry : hosts(Role::Entry, dataCentre)) {
        INFO(entry->name);
        REQUIRE(eventually(kReadyLimit, [&] {
            const Answer metrics = m_client.get(entry->platform, "/metrics");
            return metricSum(metrics.body, "hyssop_upstreams") >= count;
        }));
    }
}

void System::awaitAllReady()
{
    for (const auto &host : m_hosts)
        awaitReady(*host);
    for (const std::string &dataCentre : m_plan.dataCentres)
        awaitUpstreams(dataCentre, m_plan.enginesEach + m_plan.servicesEach);
}

void System::orderAround(const std::string &dataCentre, const nlohmann::json &fromHere,
                         const nlohmann::json &toHere)
{
    for (const auto &[ends, address] : m_reach) {
        const bool isFromHere = host(ends.first).dataCentre == dataCentre;
        const bool isToHere = host(ends.second).dataCentre == dataCentre;
        if (isFromHere != isToHere)
            m_faults.order(ends.first, ends.second, isFromHere ? fromHere : toHere);
    }
}

void System::cutOff(const std::string &dataCentre)
{
    const nlohmann::json cut{{"action", "rules"}, {"drop", true}};
    orderAround(dataCentre, cut, cut);
}

void System::silence(const std::string &dataCentre)
{
    orderAround(dataCentre, {{"action", "rules"}, {"direction", "forward"}, {"drop", true}},
                {{"action", "rules"}, {"direction", "backward"}, {"drop", true}});
}

void System::slowDown(const std::string &dataCentre, base::Millis delay)
{
    const nlohmann::json slow{{"action", "rules"}, {"delayMs", delay.count()}};
    orderAround(dataCentre, slow, slow);
}

void System::reconnect(const std::string &dataCentre)
{
    const nlohmann::json heal{{"action", "heal"}};
    orderAround(dataCentre, heal, heal);
}

void System::isolate(const Host &host)
{
    m_faults.cut(host.name, "");
    m_faults.cut("", host.name);
}

} // namespace hyssop::harness
