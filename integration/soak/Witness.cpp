#include "Witness.h"

#include <ctime>
#include <fstream>

namespace hyssop::soak {

namespace {

/// The stated target: a leaving upstream gets no new work after this.
constexpr std::int64_t kLeavingMs = 3'000;
constexpr std::size_t kSecondsLength = std::string_view("2026-12-03T00:00:00").size();

std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::string mark = name + "=";
    std::size_t at = line.starts_with(mark) ? 0 : line.find(" " + mark);
    if (at == std::string::npos)
        return "";
    at += mark.size() + (at == 0 ? 0 : 1);
    return line.substr(at, line.find(' ', at) - at);
}

/// Milliseconds of a time stamp such as 2026-12-03T10:20:30.123Z.
std::int64_t millisOf(const std::string &stamp)
{
    std::tm time{};
    if (stamp.size() <= kSecondsLength || !::strptime(stamp.c_str(), "%Y-%m-%dT%H:%M:%S", &time))
        return 0;
    return std::int64_t(::timegm(&time)) * 1'000
           + std::atoi(stamp.substr(kSecondsLength + 1).c_str());
}

std::map<std::string, std::filesystem::path> logsOf(harness::System &system)
{
    std::map<std::string, std::filesystem::path> logs;
    for (const harness::Role role : {harness::Role::Engine, harness::Role::Service}) {
        for (const harness::Host *host : system.hosts(role))
            logs[host->name] = system.folder() / (host->name + ".log");
    }
    return logs;
}

} // namespace

Witness::Witness(harness::System &system)
    : Witness(logsOf(system))
{ }

Witness::Witness(const std::map<std::string, std::filesystem::path> &logs)
{
    for (const auto &[upstream, log] : logs)
        read(log, upstream);
}

std::int64_t Witness::startsOf(const std::string &work) const
{
    const auto it = m_starts.find(work);
    return it == m_starts.end() ? 0 : it->second;
}

void Witness::read(const std::filesystem::path &log, const std::string &upstream)
{
    std::ifstream file(log);
    bool isLeaving = false;
    for (std::string line; std::getline(file, line);) {
        const std::string event = fieldOf(line, "event");
        const std::string stamp = fieldOf(line, "ts");
        const bool isStart = event == "work_started";
        if (isStart)
            ++m_starts[fieldOf(line, "work")];
        if (event == "listening")
            isLeaving = false;
        if (event == "leaving") {
            isLeaving = true;
            m_leavings.push_back({upstream, stamp, 0, ""});
        }
        const bool isRefusal = event == "work_refused" && fieldOf(line, "code") == "leaving";
        if (!isLeaving || !(isStart || isRefusal))
            continue;
        Leaving &leaving = m_leavings.back();
        if (millisOf(stamp) <= millisOf(leaving.since) + kLeavingMs)
            continue;
        if (++leaving.lateWork == 1)
            leaving.firstLate = stamp;
    }
}

} // namespace hyssop::soak
