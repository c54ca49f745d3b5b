/// Stand-ins and helpers of the review cases 6 to 10: a deployment of the project's programs,
/// replicas, consumers and the operator, each as the platform's pages describe them.
///
/// Plain POSIX, so that a case depends on nothing but the compiler. Threads block; every wait is
/// bounded.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// IPv4 address and TCP port on the loopback network.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return address + ":" + std::to_string(port); }
};

/// Writes record.txt: one line an event, with the milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    /// Milliseconds since the start of the case.
    std::int64_t now() const;

private:
    std::mutex m_mutex;
    int m_fd = -1;
    Clock::time_point m_start = Clock::now();
};

/// A parsed HTTP message; header names are in lower case.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; ///< Head and body are complete by their framing.

    std::string field(const std::string &name) const;
};

/// What a consumer or the operator saw of a call.
struct Reply
{
    int status = 0; ///< 0 when there was no answer.
    Message message;
};

/// Reads one message from a socket until it is complete, the peer closes or \a until passes.
Message readMessage(int fd, Clock::time_point until);
/// One call on a connection of its own.
Reply call(const Endpoint &to, const std::string &method, const std::string &target,
           const std::string &fields, const std::string &body, Millis limit);

/// A consumer's kept channel, for one request after the other.
class Channel
{
public:
    explicit Channel(const Endpoint &to);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    bool isOpen() const { return m_fd >= 0; }
    /// Status 0 means that the channel was closed, or that \a limit passed, without an answer.
    Reply call(const std::string &method, const std::string &target, const std::string &fields,
               const std::string &body, Millis limit);

private:
    int m_fd = -1;
};

/// A connection to \a to, or -1.
int connectTo(const Endpoint &to, Millis limit);
bool sendAll(int fd, const std::string &bytes);

/// A free loopback address of this case; each has ports of its own.
std::string nextAddress();
std::uint16_t freePort(const std::string &address);

/// A run of a request by a replica.
struct Run
{
    std::string request;
    std::string service;
    std::string tenant;
    std::int64_t at = 0; ///< By the record's clock, when it began.
    bool isAnswered = false; ///< The replica has sent its whole answer.
};

/// A replica: serves requests on threads of its own and reports to the control hosts.
class Replica
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone = "hall-a";
        Millis work{15}; ///< Of a request.
        int events = 30; ///< Of a stream, for requests with Token-Counts.
        Millis eventGap{40};
        Millis heartbeat{1'200};
        Millis firstHeartbeat{0};
    };
    Replica(Record *record, Options options, std::vector<Endpoint> controls);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    const Options &options() const { return m_options; }
    Endpoint address() const { return m_listen; }
    std::vector<Run> runs() const;
    /// From now on the path between the replica and this process is cut: what is open ends, new
    /// connections are reset. 0 heals it.
    void cutFrom(pid_t process);
    /// The replica crashes: its channels are reset, connections to it are refused, it reports no
    /// more.
    void crash();
    bool isCrashed() const { return m_isCrashed; }

private:
    struct Connection
    {
        int fd = -1; ///< -1 once it is closed.
        std::atomic<unsigned long> peer{0}; ///< Inode of the socket at the other end.
    };

    void accept();
    void closeConnection(Connection &connection, bool isReset);
    void serve(std::shared_ptr<Connection> connection);
    /// Answers a request; false when the connection has ended.
    bool answer(int fd, const Message &request);
    bool stream(int fd, const Message &request, const std::string &echo);
    void noteAnswered(const std::string &request);
    void report();

    Record *m_record;
    Options m_options;
    std::vector<Endpoint> m_controls;
    Endpoint m_listen;
    int m_listener = -1;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isCrashed{false};
    std::atomic<pid_t> m_cutFrom{0};
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
    std::thread m_reportThread;
};

/// A machine with one of the project's programs.
struct Machine
{
    std::string name;
    std::string zone;
    std::string program;
    std::string ip;
    std::string settingsPath;
    std::string dataFolder; ///< Empty without a disk.
    std::string logPath;
    Endpoint listen; ///< Front or Control.
    Endpoint ready; ///< Of a front.
    pid_t process = 0;
};

/// Three core machines and some front machines, started with the commands of the deploy file.
class Deployment
{
public:
    Deployment(Record *record, std::size_t fronts);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    std::vector<Machine> cores;
    std::vector<Machine> fronts;

    void start(Machine &machine, bool isFirstStart);
    void kill(Machine &machine);
    void signal(const Machine &machine, int number);
    std::vector<Endpoint> controlAddresses() const;
    bool isReady(const Machine &front) const;
    /// How the process of a machine ended by itself; empty while it runs.
    std::string ownEnd(Machine &machine);
    /// Sends a manifest until it is acknowledged; the time of the ack by the record's clock, or -1.
    std::int64_t put(const std::string &manifest, Millis limit);
    /// Waits until all fronts say that they are ready.
    bool awaitReady(Millis limit) const;

private:
    std::string settingsOf(const Machine &machine, bool isFirstStart) const;

    Record *m_record;
    std::string m_folder;
    std::string m_programs;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_frontPort = 0;
    std::uint16_t m_readyPort = 0;
    std::uint16_t m_controlPort = 0;
};

/// Polls \a condition each 20 ms.
bool eventually(Millis limit, const std::function<bool()> &condition);
/// Whether the case plays its disruption; TROUBLE=0 leaves it out.
bool hasTrouble();

} // namespace review
