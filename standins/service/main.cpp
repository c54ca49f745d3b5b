#include "process/Process.h"
#include "ServiceServer.h"

using namespace hyssop;

namespace {

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("standin-service", "Stand-in for a plain service, for tests.");
    standins::addStandinSettings(builder);
    builder.required("service", "Name of the service")
            .millis("delay-ms", "Time from a request to its answer", base::Millis(5),
                    base::Millis(0), base::Millis(600'000))
            .number("refuse-percent", "Calls refused with not run", 0, 0, 100)
            .number("lose-percent", "Calls that run and are never answered", 0, 0, 100)
            .number("calls-per-minute", "Calls beyond are refused with not run; 0: no bound", 0, 0,
                    1'000'000)
            .toggle("log-work", "Log each call that is run or refused")
            .number("seed", "Seed of refusals and losses", 1, 0, 1'000'000'000);
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

/// Runs before main().
[[gnu::used,
  gnu::section(".preinit_array")]] void (*const kBlockSignals)() = process::blockStopSignalsEarly;

} // namespace

int main(int argc, char **argv)
{
    const auto settings = base::settingsForMain(settingsBuilder(), argc, argv);
    if (!settings)
        return settings.error();
    process::blockStopSignals();
    auto loop = http::Loop::create();
    if (!loop)
        return 1;
    standins::ServiceServer server(loop->get(), serviceFrom(*settings));
    const auto address = server.listen(settings->endpoint("listen"));
    if (!address) {
        base::logEvent("start_failed", {{"message", address.error().message}});
        return 1;
    }
    membership::Announcement announcement =
            standins::announcementFrom(*settings, standins::freshIncarnation(), *address);
    announcement.upstream.kind = routing::UpstreamKind::Service;
    announcement.upstream.models = {settings->text("service")};
    standins::Announcer announcer(loop->get(), announcement, settings->endpoints("entries"));
    announcer.start();
    base::logEvent("listening", {{"service", address->text()}, {"seed", settings->number("seed")}});
    standins::serveUntilStopped(loop->get(), &announcer, &server, *settings);
    return 0;
}
