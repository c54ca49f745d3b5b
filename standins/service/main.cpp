#include "Announcer.h"
#include "platform/Platform.h"
#include "ServiceServer.h"

#include <thread>

using namespace hyssop;

namespace {

constexpr base::Millis kIdlePoll{20};

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("standin-service", "Stand-in for a plain service, for tests.");
    builder.required("id", "Id as an upstream")
            .required("data-centre", "Data centre")
            .required("service", "Name of the service")
            .endpoint("listen", "Where to serve", "127.0.0.1:0")
            .endpoint("announce-address", "Address to announce; empty: the one served", "")
            .endpoints("entries", "Entry hosts to announce to", "")
            .millis("delay-ms", "Time from a request to its answer", base::Millis(5),
                    base::Millis(0), base::Millis(600'000))
            .number("refuse-percent", "Calls refused with not run", 0, 0, 100)
            .number("lose-percent", "Calls that run and are never answered", 0, 0, 100)
            .number("calls-per-minute", "Calls beyond are refused with not run; 0: no bound", 0, 0,
                    1'000'000)
            .toggle("log-work", "Log each call that is run or refused")
            .number("seed", "Seed of refusals and losses", 1, 0, 1'000'000'000)
            .millis("stop-notice-ms", "How long new work is taken after leaving was announced",
                    base::Millis(3'000), base::Millis(0), base::Millis(600'000))
            .millis("stop-limit-ms", "Bound on finishing calls in flight", base::Millis(600'000),
                    base::Millis(0), base::Millis(86'400'000))
            .millis("ttl-ms", "Life of an announcement", base::Millis(2'000), base::Millis(100),
                    base::Millis(60'000));
    return builder;
}

standins::ServiceSettings serviceFrom(const base::Settings &settings)
{
    standins::ServiceSettings service;
    service.delay = settings.millis("delay-ms");
    service.refusePercent = static_cast<int>(settings.number("refuse-percent"));
    service.losePercent = static_cast<int>(settings.number("lose-percent"));
    service.callsPerMinute = settings.number("calls-per-minute");
    service.seed = static_cast<std::uint64_t>(settings.number("seed"));
    service.logsWork = settings.isOn("log-work");
    return service;
}

/// Ends the loop once no call is in flight.
void stopWhenIdle(http::Loop *loop, const standins::ServiceServer &server, base::TimePoint until)
{
    if (server.isIdle() || base::monotonicNow() >= until) {
        loop->after(kIdlePoll, [loop] { loop->stop(); });
        return;
    }
    loop->after(kIdlePoll, [loop, &server, until] { stopWhenIdle(loop, server, until); });
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = base::settingsForMain(settingsBuilder(), argc, argv);
    if (!settings)
        return settings.error();
    platform::blockStopSignals();
    auto loop = http::Loop::create();
    if (!loop)
        return 1;
    standins::ServiceServer server(loop->get(), serviceFrom(*settings));
    const auto address = server.listen(settings->endpoint("listen"));
    if (!address) {
        base::logEvent("start_failed", {{"message", address.error().message}});
        return 1;
    }
    membership::Announcement announcement;
    announcement.upstream.id = base::UpstreamId(settings->text("id"));
    announcement.upstream.kind = routing::UpstreamKind::Service;
    announcement.upstream.incarnation =
            base::Incarnation(std::chrono::system_clock::now().time_since_epoch().count());
    announcement.upstream.dataCentre = base::DataCentreId(settings->text("data-centre"));
    announcement.upstream.models = {settings->text("service")};
    announcement.address = settings->text("announce-address").empty()
                                   ? *address
                                   : settings->endpoint("announce-address");
    announcement.ttl = settings->millis("ttl-ms");
    standins::Announcer announcer(loop->get(), announcement, settings->endpoints("entries"));
    announcer.start();
    base::logEvent("listening", {{"service", address->text()}, {"seed", settings->number("seed")}});
    std::thread thread([&loop] { (*loop)->run(); });
    platform::waitForStopSignal();
    (*loop)->post([&] {
        base::logEvent("leaving", {{"service", settings->text("id")}});
        announcer.leave();
        (*loop)->after(settings->millis("stop-notice-ms"), [&] {
            server.refuseNewWork();
            stopWhenIdle(loop->get(), server,
                         base::monotonicNow() + settings->millis("stop-limit-ms"));
        });
    });
    thread.join();
    return 0;
}
