/// Foundations shared by every library: ids, units, time, settings, log lines and mailboxes.
///
/// Nothing here owns a socket. Values are cheap to copy; only Mailbox may be used from several
/// threads at once.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssop::base {

/// Monotonic present time; an argument of every function that decides.
using TimePoint = std::chrono::steady_clock::time_point;
/// Duration with microsecond resolution.
using Micros = std::chrono::microseconds;
/// Duration with millisecond resolution, used in settings and on the wire.
using Millis = std::chrono::milliseconds;

/// Reads the monotonic clock, which also counts the time that the machine is suspended. Called by
/// event loops only, never by code that decides.
TimePoint monotonicNow();

/// A textual identifier that does not convert to identifiers of other kinds.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text)
        : m_text(std::move(text))
    { }

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }
    auto operator<=>(const Id &other) const = default;

private:
    std::string m_text;
};

using HostId = Id<struct HostTag>;
using DataCentreId = Id<struct DataCentreTag>;
using TeamId = Id<struct TeamTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
using AttemptId = Id<struct AttemptTag>;
using RequestId = Id<struct RequestTag>;
using JobId = Id<struct JobTag>;

/// An integral quantity that mixes only with its own kind.
template <typename Tag>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t n)
        : m_count(n)
    { }

    constexpr std::int64_t count() const { return m_count; }
    constexpr auto operator<=>(const Quantity &other) const = default;
    constexpr Quantity &operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }

private:
    std::int64_t m_count = 0;
};

/// Tokens of a prompt or an answer.
using Tokens = Quantity<struct TokensTag>;
/// Bytes of memory or of a body.
using Bytes = Quantity<struct BytesTag>;
/// Start number of a process; a later start of the same host or upstream has a higher one.
using Incarnation = Quantity<struct IncarnationTag>;

/// IPv4 address and TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &other) const = default;
    std::string text() const;
};

/// Parses "a.b.c.d:port"; empty on malformed text. Port 0 asks the kernel for a free port.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Seeded generator handed to code that draws random numbers.
using Rng = std::mt19937_64;

/// FNV-1a; every host draws the same order from ids.
std::uint64_t stableHash(std::string_view text);

/// Lower-case hexadecimal SHA-256 of \a data.
std::string sha256Hex(std::string_view data);

/// Parses JSON without exceptions; empty on malformed text.
std::optional<nlohmann::json> parseJson(std::string_view text);

/// Parses CBOR; empty on malformed bytes, whatever they claim of their lengths.
std::optional<nlohmann::json> parseCbor(std::string_view bytes);

/// CBOR of \a json.
std::string toCbor(const nlohmann::json &json);

/// One key=value pair of a log line.
struct LogField
{
    std::string_view key;
    std::string value;

    LogField(std::string_view k, std::string v)
        : key(k)
        , value(std::move(v))
    { }
    LogField(std::string_view k, std::string_view v)
        : key(k)
        , value(v)
    { }
    LogField(std::string_view k, const char *v)
        : key(k)
        , value(v)
    { }
    template <typename T>
    requires std::is_integral_v<T> LogField(std::string_view k, T v)
        : key(k)
        , value(std::to_string(v))
    { }
    template <typename Tag>
    LogField(std::string_view k, const Id<Tag> &id)
        : key(k)
        , value(id.text())
    { }
};

/// Writes one line "ts=... event=NAME key=value ..." to standard error, or where setLogOutput()
/// says. Thread-safe: a line is one write.
///
/// Never blocks: lines beyond a bounded rate, and lines that the reader of the output has no room
/// for, are dropped and counted; the count goes out with the next line.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
/// Descriptor that log lines are written to from now on. Call first in main().
void setLogOutput(int fd);
/// Lines dropped since the start.
std::int64_t droppedLogLines();

/// Why the settings of a program were not accepted.
struct SettingsError
{
    std::string flag; ///< Flag at fault, without dashes; empty when it is none in particular.
    std::string message;
    bool helpShown = false; ///< True when the user asked for help or the version, exit code 0.
};

/// Exit code for rejected settings.
inline constexpr int kExitBadSettings = 2;

/// Checked values of a program's settings. Reading a flag that was not declared is an assertion.
class Settings
{
public:
    const std::string &text(std::string_view flag) const;
    std::int64_t number(std::string_view flag) const;
    Millis millis(std::string_view flag) const;
    bool isOn(std::string_view flag) const;
    Endpoint endpoint(std::string_view flag) const;
    std::vector<Endpoint> endpoints(std::string_view flag) const;
    const std::vector<std::string> &words() const { return m_words; }

private:
    friend class SettingsBuilder;
    std::map<std::string, std::string, std::less<>> m_values;
    std::vector<std::string> m_words;
};

/// Declares a program's settings, then reads them from flags and environment variables.
///
/// Flag "listen-callers" is variable HYSSOPSPAN_LISTEN_CALLERS; a flag goes before the environment.
class SettingsBuilder
{
public:
    using Lookup = std::function<const char *(const char *)>;

    SettingsBuilder(std::string program, std::string description);

    SettingsBuilder &text(std::string flag, std::string help, std::string fallback);
    SettingsBuilder &required(std::string flag, std::string help);
    SettingsBuilder &number(std::string flag, std::string help, std::int64_t fallback,
                            std::int64_t min, std::int64_t max);
    /// Duration in milliseconds.
    SettingsBuilder &millis(std::string flag, std::string help, Millis fallback, Millis min,
                            Millis max);
    SettingsBuilder &choice(std::string flag, std::string help, std::string fallback,
                            std::vector<std::string> allowed);
    SettingsBuilder &endpoint(std::string flag, std::string help, std::string fallback);
    /// Comma-separated endpoints; may be empty.
    SettingsBuilder &endpoints(std::string flag, std::string help, std::string fallback);
    SettingsBuilder &toggle(std::string flag, std::string help);
    /// Accepts positional words after the flags.
    SettingsBuilder &positional(std::string help);

    /// Reads and checks every setting; \a lookup reads the environment.
    tl::expected<Settings, SettingsError> parse(int argc, const char *const *argv,
                                                const Lookup &lookup) const;

    /// Markdown table of all settings, as docs/OPERATING.md shows it.
    std::string markdown() const;

private:
    using Check = std::function<std::optional<std::string>(const std::string &)>;
    struct Spec
    {
        std::string flag;
        std::string help;
        std::optional<std::string> fallback;
        std::string shape;
        bool isToggle = false;
        Check check;
    };

    SettingsBuilder &add(Spec spec);

    std::string m_program;
    std::string m_description;
    std::vector<Spec> m_specs;
    std::string m_positionalHelp;
};

/// Parses settings for main(): prints the fault, naming the flag, and returns the exit code
/// instead.
tl::expected<Settings, int> settingsForMain(const SettingsBuilder &builder, int argc,
                                            const char *const *argv);

/// Name of the environment variable that carries \a flag.
std::string environmentName(std::string_view flag);

/// Queue of messages to a task; post() may be called from any thread.
template <typename Message>
class Mailbox
{
public:
    void post(Message message)
    {
        const std::lock_guard guard(m_mutex);
        m_messages.push_back(std::move(message));
    }

    /// Takes every message posted so far, in order.
    std::vector<Message> drain()
    {
        const std::lock_guard guard(m_mutex);
        return std::exchange(m_messages, {});
    }

private:
    std::mutex m_mutex;
    std::vector<Message> m_messages;
};

} // namespace hyssop::base

template <typename Tag>
struct std::hash<hyssop::base::Id<Tag>>
{
    std::size_t operator()(const hyssop::base::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
