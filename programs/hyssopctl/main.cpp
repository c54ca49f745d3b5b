#include "Commands.h"
#include "Measure.h"

#include <fmt/format.h>

#include <fstream>

using namespace hyssop;

namespace {

constexpr auto kUsage = "validate FOLDER, diff FOLDER, apply FOLDER, get, status or measure TEAM";

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder(
            "hyssopctl", "Changes and shows the records of a system. Exit codes: 0 done; 1 failed "
                         "or no control host answered; 2 wrong use; 3 a conflict, with "
                         "both contents shown; 4 accepted, but not in force in every data "
                         "centre within the wait.");
    builder.endpoints("controls", "Operators' addresses of control hosts", "")
            .text("token-file", "File with the operators' bearer token; empty: none", "")
            .millis("timeout-ms", "Bound on one answer of a control host", base::Millis(5'000),
                    base::Millis(10), base::Millis(600'000))
            .toggle("wait", "apply: wait until the changes are in force in every data centre")
            .millis("wait-ms", "Bound on that wait", base::Millis(18'000), base::Millis(1),
                    base::Millis(3'600'000))
            .text("change-id", "apply: prefix of change ids; give the same one to send again", "")
            .number("changes", "measure: changes of the team's record", 200, 1, 100'000)
            .positional(kUsage);
    return builder;
}

int run(const base::Settings &settings)
{
    const std::vector<std::string> &words = settings.words();
    const std::string verb = words.empty() ? "" : words[0];
    const bool takesFolder =
            verb == "validate" || verb == "diff" || verb == "apply" || verb == "measure";
    if (words.size() != (takesFolder ? 2U : 1U)) {
        fmt::print(stderr, "usage: hyssopctl {}\n", kUsage);
        return ctl::ExitBadUse;
    }
    if (verb == "validate")
        return ctl::validate(words[1]);
    if (settings.endpoints("controls").empty()) {
        fmt::print(stderr, "--controls: is required for {}\n", verb);
        return ctl::ExitBadUse;
    }
    std::string token;
    if (const std::string &path = settings.text("token-file"); !path.empty()) {
        std::ifstream file(path);
        std::getline(file, token);
    }
    operators::Client client(settings.endpoints("controls"), token, settings.millis("timeout-ms"));
    if (verb == "diff")
        return ctl::diff(client, words[1]);
    if (verb == "measure")
        return ctl::measure(client, words[1], static_cast<int>(settings.number("changes")),
                            settings.millis("wait-ms"));
    if (verb == "get")
        return ctl::get(client);
    if (verb == "status")
        return ctl::status(client);
    if (verb != "apply") {
        fmt::print(stderr, "usage: hyssopctl {}\n", kUsage);
        return ctl::ExitBadUse;
    }
    ctl::ApplyOptions options;
    options.waits = settings.isOn("wait");
    options.wait = settings.millis("wait-ms");
    options.changePrefix = settings.text("change-id");
    return ctl::apply(client, words[1], options);
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = base::settingsForMain(settingsBuilder(), argc, argv);
    return settings ? run(*settings) : settings.error();
}
