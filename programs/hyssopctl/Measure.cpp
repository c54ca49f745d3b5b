#include "Measure.h"

#include "Commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <thread>

namespace hyssop::ctl {

namespace {

constexpr base::Millis kPollInterval{2};

using Samples = std::map<base::DataCentreId, std::vector<double>>;

records::Version currentVersion(operators::Client &client, const std::string &team)
{
    const auto records = client.records();
    if (!records)
        return {};
    for (const records::Record &record : *records) {
        if (record.kind == records::Kind::Team && record.name == team)
            return record.version;
    }
    return {};
}

/// Waits until the change at \a position is in force everywhere, and notes when it was in each.
bool follow(operators::Client &client, std::int64_t position, base::Millis wait, Samples &samples)
{
    const base::TimePoint accepted = base::monotonicNow();
    std::map<base::DataCentreId, bool> isDone;
    while (base::monotonicNow() - accepted < wait) {
        const auto standings = propagationByDataCentre(client.statusOfAllHosts(), {}, position);
        const std::chrono::duration<double, std::milli> passed = base::monotonicNow() - accepted;
        std::size_t done = 0;
        for (const operators::DataCentrePropagation &it : standings) {
            if (it.state != operators::PropagationState::InForce)
                continue;
            ++done;
            if (!std::exchange(isDone[it.dataCentre], true))
                samples[it.dataCentre].push_back(passed.count());
        }
        if (!standings.empty() && done == standings.size())
            return true;
        std::this_thread::sleep_for(kPollInterval);
    }
    return false;
}

void print(Samples &samples)
{
    for (auto &[centre, taken] : samples) {
        std::sort(taken.begin(), taken.end());
        fmt::print("{}: {} changes in force after p50 {:.1f} ms, p95 {:.1f} ms, worst {:.1f} ms\n",
                   centre.text(), taken.size(), taken[taken.size() / 2],
                   taken[taken.size() * 95 / 100], taken.back());
    }
}

} // namespace

int measure(operators::Client &client, const std::string &team, int changes, base::Millis wait)
{
    Samples samples;
    std::int64_t version = currentVersion(client, team).count();
    const base::TimePoint start = base::monotonicNow();
    for (int n = 0; n < changes; ++n) {
        operators::PutRequest request;
        request.expectedVersion = records::Version(version);
        request.record = {records::Kind::Team, team, 1, records::Version(++version),
                          fmt::format(R"({{"weight":{}}})", version % 9 + 1)};
        request.changeId = fmt::format("measure-{}-{}", team, version);
        const auto reply = client.put(request);
        if (!reply || reply->status != operators::PutStatus::Accepted) {
            fmt::print(stderr, "change {} was not accepted: {}\n", n + 1,
                       reply ? reply->message : reply.error().message);
            return ExitFailed;
        }
        if (!follow(client, reply->logIndex, wait, samples)) {
            fmt::print(stderr, "change {} is not in force everywhere\n", n + 1);
            print(samples);
            return ExitNotInForce;
        }
    }
    const std::chrono::duration<double> passed = base::monotonicNow() - start;
    print(samples);
    fmt::print("{} changes in {:.1f} s, one after the other\n", changes, passed.count());
    return ExitDone;
}

} // namespace hyssop::ctl
