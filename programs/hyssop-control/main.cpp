#include "ControlHost.h"

#include <fmt/format.h>

#include <fstream>

using namespace hyssop;

namespace {

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("hyssop-control",
                                  "Control host: keeps replicated state on its disk.");
    builder.required("host", "Name of this host, unique in the system")
            .required("data-centre", "Data centre of this host")
            .required("data", "Directory of this host's durable state")
            .endpoint("listen-operators", "Address of the operators' HTTP API", "127.0.0.1:0")
            .endpoint("listen-peers", "Address for RPC from other hosts", "127.0.0.1:0")
            .endpoint("listen-platform", "Address of /ready, /live and /metrics", "127.0.0.1:0")
            .text("global-voters", "Initial voters of the global group, as HOST=A.B.C.D:PORT,...",
                  "")
            .text("home-voters",
                  "Initial voters of the data centre's home group, as HOST=A.B.C.D:PORT,...; "
                  "empty: "
                  "only this host",
                  "")
            .millis("heartbeat-ms", "Interval between heartbeats of a leader", base::Millis(100),
                    base::Millis(10), base::Millis(10'000))
            .millis("election-timeout-ms", "Minimum time without a leader before an election",
                    base::Millis(1'000), base::Millis(100), base::Millis(60'000))
            .text("operator-token-file",
                  "File with the bearer token for operators; empty: no token", "");
    return builder;
}

tl::expected<std::vector<group::HostAddress>, std::string> parseVoters(std::string_view text)
{
    std::vector<group::HostAddress> voters;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view voter = text.substr(0, comma);
        const auto equals = voter.find('=');
        const auto address = equals == std::string_view::npos
                                     ? std::nullopt
                                     : base::parseEndpoint(voter.substr(equals + 1));
        if (!address || equals == 0)
            return tl::unexpected(fmt::format("'{}' is not HOST=A.B.C.D:PORT", voter));
        voters.push_back({base::HostId(std::string(voter.substr(0, equals))), *address});
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return voters;
}

/// Returns the first line of a file, or nullopt if it is empty or the file cannot be read.
std::optional<std::string> readFirstLine(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    if (!std::getline(file, line) || line.empty())
        return std::nullopt;
    return line;
}

int reportBadSetting(std::string_view flag, std::string_view message)
{
    fmt::print(stderr, "--{}: {}\n", flag, message);
    return base::kExitBadSettings;
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
    control::ControlOptions options;
    options.host = base::HostId(settings->text("host"));
    options.dataCentre = base::DataCentreId(settings->text("data-centre"));
    options.dataDirectory = settings->text("data");
    options.listenOperators = settings->endpoint("listen-operators");
    options.listenPeers = settings->endpoint("listen-peers");
    options.listenPlatform = settings->endpoint("listen-platform");
    const auto voters = parseVoters(settings->text("global-voters"));
    if (!voters)
        return reportBadSetting("global-voters", voters.error());
    options.globalVoters = *voters;
    const auto homeVoters = parseVoters(settings->text("home-voters"));
    if (!homeVoters)
        return reportBadSetting("home-voters", homeVoters.error());
    options.homeVoters = *homeVoters;
    options.heartbeatInterval = settings->millis("heartbeat-ms");
    options.electionTimeout = settings->millis("election-timeout-ms");
    if (options.electionTimeout < options.heartbeatInterval * 3)
        return reportBadSetting("election-timeout-ms",
                                "must be at least three heartbeat intervals");
    options.seed = std::random_device()();
    options.seed = options.seed << 32 | std::random_device()();
    if (const std::string &path = settings->text("operator-token-file"); !path.empty()) {
        const auto token = readFirstLine(path);
        if (!token)
            return reportBadSetting("operator-token-file", "the file does not contain a token");
        options.operatorToken = *token;
    }
    auto controlHost = control::ControlHost::start(std::move(options));
    if (!controlHost) {
        base::logEvent("start_failed", {{"message", controlHost.error().message}});
        return 1;
    }
    process::runUntilStopped([&controlHost] { (*controlHost)->run(); },
                             [&controlHost] { (*controlHost)->stop(); });
    return (*controlHost)->hasFailed() ? 1 : 0;
}
