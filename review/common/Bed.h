// A small deployment for the cases of the review: the project's own programs as separate processes
// on loopback addresses, and stand-ins for replicas, consumers and the platform. Plain sockets and
// threads, no libraries.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

/// Seconds since the start of the case.
double now();
void sleepFor(double seconds);
/// Whether the environment asks for the disruption (TROUBLE is not 0).
bool isTroubled();
/// Appends a line with the time to record.txt and prints it.
void note(const std::string &line);
/// Opens the record in the folder RECORD_FOLDER.
void openRecord();

struct Address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A loopback address of its own for a machine.
std::string newIp();
/// A free port at an address.
Address newAddress(const std::string &ip);

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Value of a header, without regard to case; empty if it is missing.
std::string headerOf(const Headers &headers, const std::string &name);

/// A connection of a server or a client.
class Socket
{
public:
    explicit Socket(int fd = -1);
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0 && !m_isBroken; }
    bool write(const std::string &bytes);
    /// Appends what arrives to the input. Returns false at the end, on a fault or after the limit.
    bool read(double limit);
    /// Ends both directions; the file descriptor stays until destruction.
    void shut();
    /// Ends the connection with a reset.
    void reset();
    std::string input;
    bool hasTimedOut = false; ///< The last read ended at its limit.
    bool wasReset = false; ///< The last read ended with an error, not with an orderly end.

private:
    int m_fd;
    std::atomic<bool> m_isBroken{false};
};

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(const std::string &name) const { return headerOf(headers, name); }
};

struct Response
{
    int status = 0; ///< 0 without an answer.
    Headers headers;
    std::string body;
    bool isWhole = false;
    std::string end; ///< "whole", "closed", "reset", "time limit" or "no connection".
    std::string header(const std::string &name) const { return headerOf(headers, name); }
};

/// One call on a channel of its own. \a headers gets Host and a length if there is a body.
Response call(const Address &to, const std::string &method, const std::string &target,
              const Headers &headers, const std::string &body, double limit);

/// Process of the system.
struct Machine
{
    std::string name;
    std::string command; ///< As in the deploy file.
    std::string ip;
    std::string zone;
    Address front; ///< For consumers (entry hosts).
    Address ready; ///< For the platform (entry hosts).
    Address control; ///< For operators and replicas (control hosts).
    std::string folder; ///< Of its settings, log and data.
    pid_t pid = -1;
    double startedAt = 0;
};

/// What of a settings file and a manifest a case may choose.
struct BedOptions
{
    int controls = 3;
    int entries = 2;
};

/// Three control hosts and some entry hosts.
class Bed
{
public:
    explicit Bed(const BedOptions &options = {});
    ~Bed();
    void start(Machine &machine);
    /// Sends a signal and, for SIGKILL, waits for the end.
    void signal(Machine &machine, int number);
    bool isRunning(Machine &machine) const;
    /// Ends of processes that no signal of the case explains.
    std::vector<std::string> unexpectedEnds();
    /// Waits until all entry hosts are ready.
    bool awaitReady(double limit);
    bool isReady(const Machine &entry) const;
    /// The operator: sends a manifest, again and again to the next host, until it is acknowledged.
    /// Returns the time of the ack, or a negative number.
    double put(const std::string &manifest, double limit);

    std::vector<Machine> controls;
    std::vector<Machine> entries;

private:
    void writeSettings(const Machine &machine) const;

    std::string m_folder;
    int m_peerPort = 0;
    bool m_isFirstStart = true;
    std::set<pid_t> m_ended;
    std::set<pid_t> m_expectedEnds;
    std::size_t m_nextControl = 0;
};

/// What reached a replica.
struct Arrival
{
    double at = 0;
    std::string request;
    std::string replica;
    std::string tenant;
    bool hasRun = false;
    std::string tag; ///< Set by the case.
};

/// Stand-in for a replica: announces itself to the control hosts and answers requests.
class Replica
{
public:
    /// What a case does with a request; returns false for the usual answer.
    using Hook = std::function<bool(Replica &, Socket &, const Request &, Arrival &)>;

    Replica(const Bed *bed, std::string service, std::string zone, int slots);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    void setHook(Hook hook) { m_hook = std::move(hook); }
    /// Opens the address and begins to announce a new start under a new id.
    void start();
    /// Ends as a crash does: no listener, all channels reset, no announcements.
    void crash();
    bool isUp() const { return m_isUp; }
    const std::string &id() const { return m_id; }
    const Address &address() const { return m_address; }
    const std::string &service() const { return m_service; }
    const std::string &zone() const { return m_zone; }
    /// Start in Unix milliseconds.
    std::int64_t born() const { return m_born; }
    std::vector<Arrival> arrivals() const;
    /// The usual answer, as it would be without a hook.
    void serve(Socket &socket, const Request &request);
    Headers signedHeaders(const Request &request) const;

private:
    void acceptAll();
    void serveChannel(const std::shared_ptr<Socket> &socket);
    void announceAll();
    bool handle(Socket &socket, const Request &request);

    const Bed *m_bed;
    const std::string m_service;
    const std::string m_zone;
    const int m_slots;
    Address m_address;
    std::string m_id;
    std::int64_t m_born = 0;
    Hook m_hook;
    std::atomic<bool> m_isUp{false};
    std::atomic<int> m_generation{0};
    std::atomic<bool> m_isEnding{false};
    std::atomic<int> m_listener{-1};
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::list<std::weak_ptr<Socket>> m_channels;
    std::atomic<int> m_threads{0};
};

/// Sends an answer with a length.
void answer(Socket &socket, int status, const Headers &headers, const std::string &body);
/// Reads one request; false at the end of the channel.
bool readRequest(Socket &socket, Request &request);
/// A new id for a request or a replica.
std::string newId();

} // namespace review
