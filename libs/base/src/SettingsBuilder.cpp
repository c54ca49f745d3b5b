#include "CommandLine.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace hyssop::base {

namespace {

constexpr auto kVersion = "0.1.0";

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

std::optional<std::string> checkRange(const std::string &text, std::int64_t min, std::int64_t max)
{
    const auto n = parseNumber(text);
    if (n && *n >= min && *n <= max)
        return std::nullopt;
    return fmt::format("'{}' is not a whole number from {} to {}", text, min, max);
}

std::optional<std::string> checkEndpoint(const std::string &text)
{
    if (text.empty() || parseEndpoint(text))
        return std::nullopt;
    return fmt::format("'{}' is not an address of the form A.B.C.D:PORT", text);
}

std::optional<std::string> checkEndpoints(const std::string &text)
{
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const std::string one(rest.substr(0, comma));
        if (!parseEndpoint(one))
            return fmt::format("'{}' is not an address of the form A.B.C.D:PORT", one);
        rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
    return std::nullopt;
}

std::string helpText(const std::string &help, const std::string &flag,
                     const std::optional<std::string> &fallback)
{
    return fmt::format("{} [{}{}]", help, environmentName(flag),
                       fallback ? ", default '" + *fallback + "'" : std::string(", required"));
}

} // namespace

SettingsBuilder::SettingsBuilder(std::string program, std::string description)
    : m_program(std::move(program))
    , m_description(std::move(description))
{ }

SettingsBuilder &SettingsBuilder::add(Spec spec)
{
    m_specs.push_back(std::move(spec));
    return *this;
}

SettingsBuilder &SettingsBuilder::text(std::string flag, std::string help, std::string fallback)
{
    return add({std::move(flag), std::move(help), std::move(fallback), "text", false, {}});
}

SettingsBuilder &SettingsBuilder::required(std::string flag, std::string help)
{
    const Check notEmpty = [](const std::string &value) -> std::optional<std::string> {
        if (value.empty())
            return "must not be empty";
        return std::nullopt;
    };
    return add({std::move(flag), std::move(help), std::nullopt, "text", false, notEmpty});
}

SettingsBuilder &SettingsBuilder::number(std::string flag, std::string help, std::int64_t fallback,
                                         std::int64_t min, std::int64_t max)
{
    const Check check = [min, max](const std::string &value) {
        return checkRange(value, min, max);
    };
    return add({std::move(flag), std::move(help), std::to_string(fallback),
                fmt::format("{}..{}", min, max), false, check});
}

SettingsBuilder &SettingsBuilder::millis(std::string flag, std::string help, Millis fallback,
                                         Millis min, Millis max)
{
    const Check check = [min, max](const std::string &value) {
        return checkRange(value, min.count(), max.count());
    };
    return add({std::move(flag), std::move(help), std::to_string(fallback.count()),
                fmt::format("{}..{} ms", min.count(), max.count()), false, check});
}

SettingsBuilder &SettingsBuilder::choice(std::string flag, std::string help, std::string fallback,
                                         std::vector<std::string> allowed)
{
    const std::string shape = fmt::format("{}", fmt::join(allowed, " or "));
    const Check check = [allowed = std::move(allowed),
                         shape](const std::string &value) -> std::optional<std::string> {
        if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
            return std::nullopt;
        return fmt::format("'{}' is not one of {}", value, shape);
    };
    return add({std::move(flag), std::move(help), std::move(fallback), shape, false, check});
}

SettingsBuilder &SettingsBuilder::endpoint(std::string flag, std::string help, std::string fallback)
{
    return add({std::move(flag), std::move(help), std::move(fallback), "A.B.C.D:PORT", false,
                checkEndpoint});
}

SettingsBuilder &SettingsBuilder::endpoints(std::string flag, std::string help,
                                            std::string fallback)
{
    return add({std::move(flag), std::move(help), std::move(fallback), "A.B.C.D:PORT,...", false,
                checkEndpoints});
}

SettingsBuilder &SettingsBuilder::toggle(std::string flag, std::string help)
{
    const Check check = [](const std::string &value) -> std::optional<std::string> {
        if (value == "true" || value == "false")
            return std::nullopt;
        return fmt::format("'{}' is not true or false", value);
    };
    return add({std::move(flag), std::move(help), "false", "true or false", true, check});
}

SettingsBuilder &SettingsBuilder::positional(std::string help)
{
    m_positionalHelp = std::move(help);
    return *this;
}

tl::expected<Settings, SettingsError> SettingsBuilder::parse(int argc, const char *const *argv,
                                                             const Lookup &lookup) const
{
    CommandLine line(m_description, kVersion);
    // TCLAP lists arguments in reverse order of their addition.
    for (auto it = m_specs.rbegin(); it != m_specs.rend(); ++it)
        line.add(it->flag, helpText(it->help, it->flag, it->fallback), it->shape, it->isToggle);
    if (!m_positionalHelp.empty())
        line.addWords(m_positionalHelp);
    if (auto error = line.parse(argc, argv))
        return tl::unexpected(*std::move(error));

    Settings settings;
    for (const Spec &spec : m_specs) {
        const std::string variable = environmentName(spec.flag);
        std::optional<std::string> value = line.value(spec.flag);
        if (const char *it = value ? nullptr : lookup(variable.c_str()))
            value = it;
        if (!value)
            value = spec.fallback;
        if (!value)
            return tl::unexpected(
                    SettingsError{spec.flag, fmt::format("is required (or {})", variable)});
        if (const auto fault = spec.check ? spec.check(*value) : std::nullopt)
            return tl::unexpected(SettingsError{spec.flag, *fault});
        settings.m_values[spec.flag] = *value;
    }
    settings.m_words = line.words();
    return settings;
}

std::string SettingsBuilder::markdown() const
{
    std::string table =
            "| flag | environment | values | default | meaning |\n|---|---|---|---|---|\n";
    for (const Spec &spec : m_specs)
        table += fmt::format("| `--{}` | `{}` | {} | {} | {} |\n", spec.flag,
                             environmentName(spec.flag), spec.shape,
                             spec.fallback ? "`" + *spec.fallback + "`" : "required", spec.help);
    return table;
}

tl::expected<Settings, int> settingsForMain(const SettingsBuilder &builder, int argc,
                                            const char *const *argv)
{
    if (argc == 2 && std::string_view(argv[1]) == "--settings-markdown") {
        fmt::print("{}", builder.markdown());
        return tl::unexpected(0);
    }
    auto settings = builder.parse(argc, argv, [](const char *name) { return std::getenv(name); });
    if (settings)
        return *std::move(settings);
    if (settings.error().helpShown)
        return tl::unexpected(0);
    fmt::print(stderr, "--{}: {}\n", settings.error().flag, settings.error().message);
    return tl::unexpected(kExitBadSettings);
}

} // namespace hyssop::base
