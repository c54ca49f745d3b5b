#include "EngineServer.h"
#include "process/Process.h"

using namespace hyssop;

namespace {

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("standin-engine", "Stand-in for a model engine, for tests.");
    const base::Millis day(86'400'000);
    const base::Millis none(0);
    standins::addStandinSettings(builder);
    builder.text("model", "Model loaded", "m")
            .text("role", "Role announced", "")
            .number("kv-tokens", "KV memory in tokens", 400'000, 1'024, 100'000'000)
            .number("prefill-rate", "Prompt tokens a second", 40'000, 100, 100'000'000)
            .number("step-ms", "Base time of a step", 8, 1, 1'000)
            .number("speed", "Model time over real time", 1, 1, 1'000)
            .millis("keep-ms", "How long an ended attempt can be resumed", base::Millis(30'000),
                    none, day)
            .millis("load-lag-ms", "Age of load reports", none, none, day)
            .millis("event-lag-ms", "Delay of cache events", none, none, day)
            .number("event-loss-percent", "Cache events lost", 0, 0, 100)
            .number("seed", "Seed of losses and faults", 1, 0, 1'000'000'000)
            .toggle("log-work", "Log each attempt that is started or refused")
            .choice("fencing", "Whether old fencing numbers are refused", "check",
                    {"check", "ignore"})
            .millis("load-model-ms", "Time to load a model", base::Millis(500), none, day)
            .endpoint("weight-store", "Asked before each load; empty: none", "")
            .number("fail-refuse-percent", "Attempts refused with not run", 0, 0, 100)
            .number("fail-stall-percent", "Attempts that stall", 0, 0, 100)
            .number("fail-stall-after", "Tokens sent before a stall", 0, 0, 1'000'000)
            .number("fail-close-percent", "Attempts whose connection is closed", 0, 0, 100)
            .number("fail-close-after", "Tokens sent before the close", 0, 0, 1'000'000)
            .millis("fail-delay-ms", "Delay of every event of an answer", none, none, day)
            .number("fail-cross-percent", "Events also sent to another reader", 0, 0, 100)
            .number("fail-duplicate-percent", "Events sent twice", 0, 0, 100);
    return builder;
}

int percentOf(const base::Settings &settings, std::string_view flag)
{
    return static_cast<int>(settings.number(flag));
}

standins::FaultSettings faultsFrom(const base::Settings &settings)
{
    standins::FaultSettings faults;
    faults.refusePercent = percentOf(settings, "fail-refuse-percent");
    faults.stallPercent = percentOf(settings, "fail-stall-percent");
    faults.stallAfter = settings.number("fail-stall-after");
    faults.closePercent = percentOf(settings, "fail-close-percent");
    faults.closeAfter = settings.number("fail-close-after");
    faults.delay = settings.millis("fail-delay-ms");
    faults.crossPercent = percentOf(settings, "fail-cross-percent");
    faults.duplicatePercent = percentOf(settings, "fail-duplicate-percent");
    return faults;
}

standins::EngineSettings engineFrom(const base::Settings &settings, base::Incarnation incarnation)
{
    standins::EngineSettings engine;
    engine.parameters.kvTokens = settings.number("kv-tokens");
    engine.parameters.prefillTokensPerSecond = static_cast<double>(settings.number("prefill-rate"));
    engine.parameters.stepBase = base::Millis(settings.number("step-ms"));
    engine.speed = static_cast<double>(settings.number("speed"));
    engine.keep = settings.millis("keep-ms");
    engine.feed.loadLag = settings.millis("load-lag-ms");
    engine.feed.eventLag = settings.millis("event-lag-ms");
    engine.feed.lossPercent = percentOf(settings, "event-loss-percent");
    engine.feed.seed = static_cast<std::uint64_t>(settings.number("seed"));
    engine.feed.epoch = static_cast<std::uint64_t>(incarnation.count());
    engine.faults = faultsFrom(settings);
    engine.loaded.model = settings.text("model");
    engine.loaded.role = settings.text("role");
    engine.checksFencing = settings.text("fencing") == "check";
    engine.logsWork = settings.isOn("log-work");
    engine.loadTime = settings.millis("load-model-ms");
    if (!settings.text("weight-store").empty())
        engine.weightStore = settings.endpoint("weight-store");
    return engine;
}

membership::Announcement engineAnnouncement(const base::Settings &settings,
                                            base::Incarnation incarnation,
                                            const base::Endpoint &address)
{
    membership::Announcement announcement =
            standins::announcementFrom(settings, incarnation, address);
    announcement.upstream.role = settings.text("role");
    announcement.upstream.models = {settings.text("model")};
    announcement.upstream.kvTokens = base::Tokens(settings.number("kv-tokens"));
    announcement.checksFencing = settings.text("fencing") == "check";
    return announcement;
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
    const base::Incarnation incarnation = standins::freshIncarnation();
    std::unique_ptr<standins::Announcer> announcer;
    standins::EngineServer server(loop->get(), engineFrom(*settings, incarnation),
                                  [&announcer](const standins::EngineOrder &loaded) {
                                      auto &upstream = announcer->announcement().upstream;
                                      upstream.models = {loaded.model};
                                      upstream.role = loaded.role;
                                      announcer->send();
                                  });
    const auto address = server.listen(settings->endpoint("listen"));
    if (!address) {
        base::logEvent("start_failed", {{"message", address.error().message}});
        return 1;
    }
    announcer = std::make_unique<standins::Announcer>(
            loop->get(), engineAnnouncement(*settings, incarnation, *address),
            settings->endpoints("entries"));
    announcer->start();
    base::logEvent("listening", {{"engine", address->text()}, {"seed", settings->number("seed")}});
    standins::serveUntilStopped(loop->get(), announcer.get(), &server, *settings);
    return 0;
}
