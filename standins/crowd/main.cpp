#include "Announcer.h"
#include "CrowdServer.h"
#include "process/Process.h"

using namespace hyssop;

namespace {

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("standin-crowd",
                                  "Stand-in for many idle engines, for measuring control traffic.");
    builder.required("data-centre", "Data centre")
            .endpoint("listen", "Where to serve", "127.0.0.1:0")
            .endpoints("entries", "Entry hosts to announce to", "")
            .number("count", "Engines announced", 16, 1, 10'000)
            .text("model", "Model announced", "m")
            .millis("load-interval-ms", "Time between load reports", base::Millis(1'000),
                    base::Millis(10), base::Millis(60'000))
            .millis("ttl-ms", "Life of an announcement", base::Millis(10'000), base::Millis(100),
                    base::Millis(60'000));
    return builder;
}

membership::Announcement announcementOf(const base::Settings &settings, std::int64_t n,
                                        const base::Endpoint &address)
{
    membership::Announcement announcement;
    announcement.upstream.id = base::UpstreamId("crowd-" + std::to_string(n));
    announcement.upstream.incarnation =
            base::Incarnation(std::chrono::system_clock::now().time_since_epoch().count());
    announcement.upstream.dataCentre = base::DataCentreId(settings.text("data-centre"));
    announcement.upstream.models = {settings.text("model")};
    announcement.upstream.kvTokens = base::Tokens(400'000);
    announcement.address = address;
    announcement.ttl = settings.millis("ttl-ms");
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
    auto loop = http::Loop::create(8'192);
    if (!loop)
        return 1;
    standins::CrowdServer server(loop->get(), settings->millis("load-interval-ms"));
    const auto address = server.listen(settings->endpoint("listen"));
    if (!address) {
        base::logEvent("start_failed", {{"message", address.error().message}});
        return 1;
    }
    // Each upstream announces to one entry host, as behind a balancer; the hosts tell each other.
    const auto entries = settings->endpoints("entries");
    std::vector<std::unique_ptr<standins::Announcer>> announcers;
    for (std::int64_t n = 0; n < settings->number("count"); ++n) {
        std::vector<base::Endpoint> one;
        if (!entries.empty())
            one.push_back(entries[static_cast<std::size_t>(n) % entries.size()]);
        announcers.push_back(std::make_unique<standins::Announcer>(
                loop->get(), announcementOf(*settings, n, *address), std::move(one)));
        (*loop)->after(base::Millis(n * 10), [it = announcers.back().get()] { it->start(); });
    }
    process::runUntilStopped([&loop] { (*loop)->run(); }, [&loop] { (*loop)->stop(); });
    return 0;
}
