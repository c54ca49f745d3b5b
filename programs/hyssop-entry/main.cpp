#include "EntryServer.h"

using namespace hyssop;

namespace {

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("hyssop-entry",
                                  "Entry host that routes callers' requests to upstreams.");
    builder.required("host", "Name of this host, unique in the system")
            .required("data-centre", "Data centre of this host")
            .endpoint("listen-callers", "Address for HTTP requests of callers", "127.0.0.1:0")
            .endpoint("listen-upstreams", "Address for announcements of upstreams", "127.0.0.1:0")
            .endpoint("listen-platform", "Address of /ready, /live and /metrics", "127.0.0.1:0")
            .endpoint("listen-peers", "Address for RPC of other hosts", "127.0.0.1:0")
            .endpoints("controls", "Peer addresses of control hosts, nearest first", "")
            .endpoints("peers", "Peer addresses of the other entry hosts of the data centre", "")
            .choice("peer-discovery", "How addresses of other entry hosts are learned", "gossip",
                    {"gossip", "settings"})
            .choice("caller-auth", "How callers authenticate", "off", {"off", "keys"})
            .choice("policy", "Placement policy", "adaptive",
                    {"adaptive", "least-outstanding", "round-robin"})
            .number("max-body-bytes", "Limit on the body of a request", std::int64_t(16) << 20,
                    1'024, std::int64_t(1) << 30)
            .number("max-open-body-bytes", "Limit on the bodies of all requests in flight together",
                    std::int64_t(512) << 20, 1'024, std::int64_t(1) << 40)
            .number("max-unsent-bytes",
                    "Limit on the unread part of a response, beyond which the request is cancelled",
                    std::int64_t(4) << 20, 1'024, std::int64_t(1) << 30)
            .millis("stall-limit-ms",
                    "Longest wait for the next token before a stream counts as stalled",
                    base::Millis(10'000), base::Millis(100), base::Millis(600'000))
            .millis("body-timeout-ms", "Longest time for a request body to arrive",
                    base::Millis(30'000), base::Millis(10), base::Millis(600'000))
            .number("max-queued", "Requests that may wait for an upstream", 10'000, 1, 1'000'000)
            .number("max-outstanding-tokens",
                    "Limit on outstanding uncached prompt tokens at one engine", 32'768, 1,
                    100'000'000)
            .number("weight-loads-at-once",
                    "Limit on engines of the data centre that load from the weight store at once",
                    2, 1, 1'000)
            .number("weight-loads-per-minute",
                    "Limit on loads from the weight store that start in a minute, in the data "
                    "centre",
                    30, 1, 10'000)
            .millis("stop-notice-ms",
                    "How long new requests are accepted after a stop was requested",
                    base::Millis(2'000), base::Millis(0), base::Millis(600'000))
            .millis("stop-limit-ms", "Longest time for requests in flight to finish after a stop",
                    base::Millis(600'000), base::Millis(0), base::Millis(86'400'000));
    return builder;
}

/// Incarnations increase with each start of a host.
base::Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return base::Incarnation(std::chrono::duration_cast<base::Millis>(now).count());
}

entry::EntryOptions optionsFrom(const base::Settings &settings)
{
    entry::EntryOptions options;
    options.host = base::HostId(settings.text("host"));
    options.incarnation = newIncarnation();
    options.dataCentre = base::DataCentreId(settings.text("data-centre"));
    options.listenCallers = settings.endpoint("listen-callers");
    options.listenUpstreams = settings.endpoint("listen-upstreams");
    options.listenPlatform = settings.endpoint("listen-platform");
    options.listenPeers = settings.endpoint("listen-peers");
    options.controlHosts = settings.endpoints("controls");
    options.peers = settings.endpoints("peers");
    options.usesConfiguredPeersOnly = settings.text("peer-discovery") == "settings";
    options.checksCallerKeys = settings.text("caller-auth") == "keys";
    options.maxBodyBytes = static_cast<std::size_t>(settings.number("max-body-bytes"));
    options.maxTotalBody = base::Bytes(settings.number("max-open-body-bytes"));
    options.maxUnsentBytes = static_cast<std::size_t>(settings.number("max-unsent-bytes"));
    options.stallLimit = settings.millis("stall-limit-ms");
    options.bodyTimeout = settings.millis("body-timeout-ms");
    options.stopNotice = settings.millis("stop-notice-ms");
    options.stopLimit = settings.millis("stop-limit-ms");
    options.policy = settings.text("policy");
    options.maxQueued = static_cast<std::size_t>(settings.number("max-queued"));
    options.maxOutstandingTokens = settings.number("max-outstanding-tokens");
    options.loadLimits.maxConcurrent = static_cast<int>(settings.number("weight-loads-at-once"));
    options.loadLimits.maxPerMinute = static_cast<int>(settings.number("weight-loads-per-minute"));
    return options;
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
    auto server = entry::EntryServer::start(optionsFrom(*settings));
    if (!server) {
        base::logEvent("start_failed", {{"message", server.error().message}});
        return 1;
    }
    process::runUntilStopped([&server] { (*server)->run(); }, [&server] { (*server)->stop(); });
    return 0;
}
