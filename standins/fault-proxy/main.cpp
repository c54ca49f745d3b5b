#include "ControlServer.h"
#include "process/Process.h"

#include <fmt/format.h>

#include <thread>

using namespace hyssop;

namespace {

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("fault-proxy", "TCP proxy that brings faults about, for tests.");
    builder.endpoint("listen-control", "Where orders are taken by HTTP", "127.0.0.1:0")
            .required("links", "Forwardings, as A.B.C.D:PORT=A.B.C.D:PORT,...");
    return builder;
}

std::optional<std::vector<standins::LinkAddress>> parseLinks(std::string_view text)
{
    std::vector<standins::LinkAddress> links;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view one = text.substr(0, comma);
        const auto equals = one.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        const auto listen = base::parseEndpoint(one.substr(0, equals));
        const auto target = base::parseEndpoint(one.substr(equals + 1));
        if (!listen || !target)
            return std::nullopt;
        links.push_back({*listen, *target});
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return links;
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
    const auto links = parseLinks(settings->text("links"));
    if (!links) {
        fmt::print(stderr, "--links: is not A.B.C.D:PORT=A.B.C.D:PORT,...\n");
        return base::kExitBadSettings;
    }
    process::blockStopSignals();
    auto forwarder = standins::Forwarder::create(*links);
    auto loop = http::Loop::create();
    if (!forwarder || !loop) {
        base::logEvent("start_failed",
                       {{"message", forwarder ? loop.error().message : forwarder.error()}});
        return 1;
    }
    standins::ControlServer server(loop->get(), forwarder->get());
    const auto address = server.listen(settings->endpoint("listen-control"));
    if (!address) {
        base::logEvent("start_failed", {{"message", address.error().message}});
        return 1;
    }
    base::logEvent("listening", {{"control", address->text()}});
    std::thread bytes([&forwarder] { (*forwarder)->run(); });
    std::thread control([&loop] { (*loop)->run(); });
    process::waitForStopSignal();
    (*loop)->stop();
    control.join();
    (*forwarder)->stop();
    bytes.join();
    return 0;
}
