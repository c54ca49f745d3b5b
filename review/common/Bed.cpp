#include "Bed.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex g_recordMutex;
std::ofstream g_record;

sockaddr_in nameOf(const Address &address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

std::uint64_t randomNumber()
{
    static std::mutex mutex;
    static std::mt19937_64 rng{std::random_device{}()};
    const std::lock_guard guard(mutex);
    return rng();
}

/// Connects within a limit; -1 on a fault.
int connectTo(const Address &to, double limit)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = nameOf(to);
    int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&name), sizeof name);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd entry{fd, POLLOUT, 0};
        result = ::poll(&entry, 1, static_cast<int>(limit * 1e3)) == 1 ? 0 : -1;
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            result = -1;
    }
    if (result != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

std::string trimmed(std::string text)
{
    const auto from = text.find_first_not_of(" \t\r");
    if (from == std::string::npos)
        return "";
    return text.substr(from, text.find_last_not_of(" \t\r") - from + 1);
}

Headers parseHeaders(const std::string &head)
{
    Headers headers;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return headers;
}

/// Reads a body in chunks. Returns whether it ended as it should.
bool readChunks(Socket &socket, std::string &body, double until)
{
    for (;;) {
        std::size_t line = 0;
        while ((line = socket.input.find("\r\n")) == std::string::npos) {
            if (!socket.read(until - now()))
                return false;
        }
        const std::size_t size = std::strtoull(socket.input.c_str(), nullptr, 16);
        while (socket.input.size() < line + 2 + size + 2) {
            const std::size_t have = socket.input.size();
            if (!socket.read(until - now())) {
                const std::size_t part = have > line + 2 ? have - line - 2 : 0;
                body += socket.input.substr(line + 2, std::min(size, part));
                return false;
            }
        }
        body += socket.input.substr(line + 2, size);
        socket.input.erase(0, line + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

/// Command of a role in the deploy file.
std::string commandOf(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool isRole = false;
    while (std::getline(file, line)) {
        if (line.starts_with("["))
            isRole = line == "[roles." + role + "]";
        if (isRole && line.starts_with("run")) {
            const auto from = line.find('"') + 1;
            return line.substr(from, line.rfind('"') - from);
        }
    }
    return "";
}

constexpr const char *kZones[] = {"hall-a", "hall-b", "hall-c"};
constexpr double kHeartbeat = 1.2;

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool isTroubled()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

void openRecord()
{
    const char *folder = std::getenv("RECORD_FOLDER");
    g_record.open(std::string(folder ? folder : ".") + "/record.txt");
}

void note(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", now());
    const std::lock_guard guard(g_recordMutex);
    g_record << time << line << std::endl;
    std::printf("%s%s\n", time, line.c_str());
    std::fflush(stdout);
}

std::string newIp()
{
    // Addresses of one run lie together; runs at the same time get others.
    static const int base = 40 + static_cast<int>(::getpid()) % 180;
    static std::atomic<int> last{0};
    const int n = ++last;
    return "127.30." + std::to_string(base) + "." + std::to_string(n);
}

Address newAddress(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = nameOf({ip, 0});
    ::bind(fd, reinterpret_cast<const sockaddr *>(&name), sizeof name);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size);
    ::close(fd);
    return {ip, ntohs(bound.sin_port)};
}

std::string newId()
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(randomNumber()));
    return text;
}

std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

Socket::Socket(int fd)
    : m_fd(fd)
{ }

Socket::~Socket()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

bool Socket::write(const std::string &bytes)
{
    std::size_t done = 0;
    while (isOpen() && done < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n > 0) {
            done += static_cast<std::size_t>(n);
        } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            pollfd entry{m_fd, POLLOUT, 0};
            ::poll(&entry, 1, 100);
        } else if (n < 0 && errno != EINTR) {
            m_isBroken = true;
        }
    }
    return done == bytes.size();
}

bool Socket::read(double limit)
{
    hasTimedOut = false;
    wasReset = false;
    const double until = now() + limit;
    while (isOpen()) {
        const double left = until - now();
        pollfd entry{m_fd, POLLIN, 0};
        const int ready =
                left <= 0 ? 0 : ::poll(&entry, 1, std::max(1, static_cast<int>(left * 1e3)));
        if (ready < 0 && errno == EINTR)
            continue;
        if (ready <= 0) {
            hasTimedOut = true;
            return false;
        }
        char buffer[16384];
        const auto n = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (n > 0) {
            input.append(buffer, static_cast<std::size_t>(n));
            return true;
        }
        if (n < 0 && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK))
            continue;
        wasReset = n < 0;
        m_isBroken = true;
    }
    return false;
}

void Socket::shut()
{
    m_isBroken = true;
    ::shutdown(m_fd, SHUT_RDWR);
}

void Socket::reset()
{
    const linger hard{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    m_isBroken = true;
    const int fd = std::exchange(m_fd, -1);
    if (fd >= 0)
        ::close(fd);
}

bool readRequest(Socket &socket, Request &request)
{
    std::size_t end = 0;
    while ((end = socket.input.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.read(30))
            return false;
    }
    const std::string head = socket.input.substr(0, end);
    socket.input.erase(0, end + 4);
    std::istringstream first(head);
    first >> request.method >> request.target;
    request.headers = parseHeaders(head);
    request.body.clear();
    const double until = now() + 30;
    if (request.header("Transfer-Encoding") == "chunked")
        return readChunks(socket, request.body, until);
    const std::size_t size = std::strtoull(request.header("Content-Length").c_str(), nullptr, 10);
    while (socket.input.size() < size) {
        if (!socket.read(until - now()))
            return false;
    }
    request.body = socket.input.substr(0, size);
    socket.input.erase(0, size);
    return true;
}

void answer(Socket &socket, int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    socket.write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

Response call(const Address &to, const std::string &method, const std::string &target,
              const Headers &headers, const std::string &body, double limit)
{
    Response response;
    const double until = now() + limit;
    Socket socket(connectTo(to, std::min(1.0, limit)));
    if (!socket.isOpen()) {
        response.end = "no connection";
        return response;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (headerOf(headers, "Host").empty())
        text += "Host: " + to.text() + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    socket.write(text + "\r\n" + body);
    const auto ended = [&] {
        response.end = socket.hasTimedOut ? "time limit" : socket.wasReset ? "reset" : "closed";
        return response;
    };
    std::size_t end = 0;
    for (;;) {
        end = socket.input.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (!socket.read(until - now()))
                return ended();
            continue;
        }
        const std::string head = socket.input.substr(0, end);
        socket.input.erase(0, end + 4);
        response.status = std::atoi(head.c_str() + head.find(' ') + 1);
        response.headers = parseHeaders(head);
        if (response.status >= 200)
            break;
    }
    if (response.header("Transfer-Encoding") == "chunked") {
        response.isWhole = readChunks(socket, response.body, until);
        if (!response.isWhole)
            return ended();
    } else {
        const std::size_t size =
                std::strtoull(response.header("Content-Length").c_str(), nullptr, 10);
        while (socket.input.size() < size) {
            if (!socket.read(until - now())) {
                response.body = socket.input;
                return ended();
            }
        }
        response.body = socket.input.substr(0, size);
        response.isWhole = true;
    }
    response.end = "whole";
    return response;
}

Bed::Bed(const BedOptions &options)
{
    std::string folder = "/tmp/hyssop-review-XXXXXX";
    m_folder = ::mkdtemp(folder.data());
    for (int n = 0; n < options.controls + options.entries; ++n) {
        const bool isControl = n < options.controls;
        const int number = isControl ? n : n - options.controls;
        Machine machine;
        machine.zone = kZones[number % 3];
        machine.name = std::string(isControl ? "core-" : "front-") + machine.zone + "-"
                       + std::to_string(number);
        machine.command = commandOf(isControl ? "control" : "entry");
        machine.ip = newIp();
        machine.folder = m_folder + "/" + machine.name;
        ::mkdir(machine.folder.c_str(), 0755);
        if (isControl) {
            ::mkdir((machine.folder + "/data").c_str(), 0755);
            machine.control = newAddress(machine.ip);
            controls.push_back(machine);
        } else {
            machine.front = newAddress(machine.ip);
            machine.ready = newAddress(machine.ip);
            entries.push_back(machine);
        }
    }
    m_peerPort = newAddress(controls.front().ip).port;
    for (Machine &it : controls)
        start(it);
    for (Machine &it : entries)
        start(it);
    m_isFirstStart = false;
}

Bed::~Bed()
{
    for (auto *machines : {&entries, &controls}) {
        for (Machine &it : *machines)
            signal(it, SIGKILL);
    }
    if (std::getenv("KEEP_LOGS")) {
        note("logs are kept in " + m_folder);
        return;
    }
    // The folder was made by this case.
    const std::string command = "rm -r -- '" + m_folder + "'";
    if (std::system(command.c_str()) != 0)
        note("the folder could not be removed");
}

void Bed::writeSettings(const Machine &machine) const
{
    const bool isControl = machine.control.port != 0;
    std::ofstream file(machine.folder + "/boot.yaml");
    file << "Node: \"" << machine.name << "\"\n"
         << "Role: \"" << (isControl ? "control" : "entry") << "\"\n"
         << "MachineClass: \"" << (isControl ? "core" : "front") << "\"\n"
         << "Serves:\n  - \"" << (isControl ? "control" : "front") << "\"\n"
         << "Ip: \"" << machine.ip << "\"\nZone: \"" << machine.zone << "\"\n"
         << "Region: \"thessaloniki\"\nZones:\n  hall-a: \"thessaloniki\"\n"
         << "  hall-b: \"thessaloniki\"\n  hall-c: \"thessaloniki\"\nListen:\n";
    if (isControl)
        file << "  Control: \"" << machine.control.text() << "\"\n";
    else
        file << "  Front: \"" << machine.front.text() << "\"\n  Ready: \"" << machine.ready.text()
             << "\"\n";
    file << "InternalPorts:\n  - " << m_peerPort << "\n  - " << m_peerPort + 15 << "\nSeeds:\n";
    for (const Machine &it : controls)
        file << "  - \"" << it.control.text() << "\"\n";
    file << "Bootstrap: " << (m_isFirstStart ? "true" : "false")
         << "\nCountLoss: " << (isControl ? "true" : "false") << "\n"
         << "Limits:\n  CpuShare: 0.3\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4200\n"
         << "  LinkMbps: 1000.0\n  DiskMb: " << (isControl ? 128 : 0)
         << "\nDataDir: " << (isControl ? '"' + machine.folder + "/data\"" : std::string("null"))
         << "\n"
         << "Discovery: \"registry\"\nEntry: \"vip\"\nHeartbeatMs: 1200\nContracts:\n"
         << "  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n"
         << "  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"spans\"\n"
         << "Tolerate:\n  Machines: 1\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedLagS: 3\n"
         << "  ReuseAfterS: 2\n  ContactMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n"
         << "  GraceS: 8\n  LossSlackMs: 200\n  ConfigDeadlineMs: 2000\n  RollbackSlackMs: 250\n"
         << "  MaxStretchMs: 5000\n  FailClosed: true\n  RevokeMs: 5000\n"
         << "  RetryBudgetRatio: 0.2\n  BudgetWindowS: 10\n  RetryBudgetExtra: 100\n"
         << "  RecoverS: 12\n  PassMs: 120\n  RetryAfterS: 0\n  stall_ms: 1500\n"
         << "  HoldMaxMs: 20000\n  FreeMs: 4000\n  IdleMaxMs: 9000\nConfigMode: \"highest\"\n";
}

void Bed::start(Machine &machine)
{
    writeSettings(machine);
    const std::string settings = machine.folder + "/boot.yaml";
    const std::string log = machine.folder + "/log";
    const std::string program = machine.command;
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::vector<std::string> variables{"HYSSOPSPAN_SETTINGS=" + settings};
    for (const char *name : {"PATH", "HOME", "LANG"}) {
        if (const char *value = std::getenv(name))
            variables.push_back(std::string(name) + "=" + value);
    }
    std::vector<char *> environment;
    for (std::string &it : variables)
        environment.push_back(it.data());
    environment.push_back(nullptr);
    std::string argument = program;
    char *arguments[] = {argument.data(), nullptr};
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execve(program.c_str(), arguments, environment.data());
        ::_exit(127);
    }
    ::close(out);
    machine.pid = pid;
    machine.startedAt = now();
    note("start " + machine.name + " (" + machine.command + ")");
}

bool Bed::isRunning(Machine &machine) const
{
    return machine.pid > 0 && ::kill(machine.pid, 0) == 0
           && ::waitpid(machine.pid, nullptr, WNOHANG) == 0;
}

void Bed::signal(Machine &machine, int number)
{
    if (machine.pid <= 0)
        return;
    int status = 0;
    if (::waitpid(machine.pid, &status, WNOHANG) != 0) {
        note("UNEXPECTED end of " + machine.name + ", wait status " + std::to_string(status));
        m_ended.insert(machine.pid);
        machine.pid = -1;
        return;
    }
    ::kill(machine.pid, number);
    if (number != SIGKILL)
        return;
    ::waitpid(machine.pid, &status, 0);
    machine.pid = -1;
}

std::vector<std::string> Bed::unexpectedEnds()
{
    std::vector<std::string> ends;
    for (auto *machines : {&entries, &controls}) {
        for (Machine &it : *machines) {
            int status = 0;
            if (it.pid > 0 && ::waitpid(it.pid, &status, WNOHANG) == it.pid) {
                ends.push_back(it.name + ", wait status " + std::to_string(status));
                it.pid = -1;
            }
        }
    }
    return ends;
}

bool Bed::isReady(const Machine &entry) const
{
    return call(entry.ready, "GET", "/api/ready", {}, "", 1.0).status == 200;
}

bool Bed::awaitReady(double limit)
{
    const double until = now() + limit;
    while (now() < until) {
        const bool areReady = std::all_of(entries.begin(), entries.end(),
                                          [this](const Machine &it) { return isReady(it); });
        if (areReady)
            return true;
        sleepFor(0.1);
    }
    return false;
}

double Bed::put(const std::string &manifest, double limit)
{
    const double until = now() + limit;
    double pause = 0.05;
    while (now() < until) {
        const Machine &control = controls[m_nextControl++ % controls.size()];
        const Response response = call(control.control, "POST", "/api/config/put",
                                       {{"Content-Type", "application/json"}}, manifest, 1.0);
        if (response.status == 200) {
            note("the operator gets an ack from " + control.name);
            return now();
        }
        sleepFor(pause);
        pause = std::min(0.5, pause * 1.5);
    }
    note("the operator gets no ack");
    return -1;
}

Replica::Replica(const Bed *bed, std::string service, std::string zone, int slots)
    : m_bed(bed)
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_slots(slots)
    , m_address(newAddress(newIp()))
{ }

Replica::~Replica()
{
    m_isEnding = true;
    crash();
    while (m_threads > 0)
        sleepFor(0.01);
}

void Replica::start()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = nameOf(m_address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0
        || ::listen(fd, 512) != 0) {
        note("a replica can't listen at " + m_address.text());
        std::exit(2);
    }
    m_id = "i-" + newId().substr(0, 10);
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    ++m_generation;
    m_listener = fd;
    m_isUp = true;
    m_threads += 2;
    std::thread([this] { acceptAll(); }).detach();
    std::thread([this] { announceAll(); }).detach();
}

void Replica::crash()
{
    if (!m_isUp.exchange(false))
        return;
    ++m_generation;
    const int fd = m_listener.exchange(-1);
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
    const std::lock_guard guard(m_mutex);
    for (const auto &it : m_channels) {
        if (const auto socket = it.lock()) {
            // The thread of the channel owns the descriptor: reset now, closed there.
            const linger hard{1, 0};
            ::setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            sockaddr nothing{};
            nothing.sa_family = AF_UNSPEC;
            ::connect(socket->fd(), &nothing, sizeof nothing);
            socket->shut();
        }
    }
    m_channels.clear();
}

std::vector<Arrival> Replica::arrivals() const
{
    const std::lock_guard guard(m_mutex);
    return m_arrivals;
}

void Replica::acceptAll()
{
    const int generation = m_generation;
    const int listener = m_listener;
    while (generation == m_generation) {
        pollfd entry{listener, POLLIN, 0};
        if (::poll(&entry, 1, 50) <= 0)
            continue;
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto socket = std::make_shared<Socket>(fd);
        {
            const std::lock_guard guard(m_mutex);
            std::erase_if(m_channels, [](const auto &it) { return it.expired(); });
            m_channels.push_back(socket);
        }
        ++m_threads;
        std::thread([this, socket] { serveChannel(socket); }).detach();
    }
    --m_threads;
}

void Replica::serveChannel(const std::shared_ptr<Socket> &socket)
{
    Request request;
    while (socket->isOpen() && !m_isEnding && readRequest(*socket, request)) {
        if (!handle(*socket, request))
            break;
    }
    --m_threads;
}

Headers Replica::signedHeaders(const Request &request) const
{
    return {{"Request-Id", request.header("Request-Id")},
            {"Response-Seal", m_id + "." + request.header("Request-Id")},
            {"Instance-Load", "1,0," + std::to_string(m_slots)},
            {"Keep-Alive", "timeout=15"}};
}

bool Replica::handle(Socket &socket, const Request &request)
{
    if (request.target == "/health") {
        answer(socket, 200, {{"Instance-Id", m_id}}, "");
        return socket.isOpen();
    }
    if (request.target == "/api/order") {
        answer(socket, 200, {{"Content-Type", "application/json"}}, "{\"FreeSlots\":1}");
        return socket.isOpen();
    }
    Arrival arrival;
    arrival.at = now();
    arrival.request = request.header("Request-Id");
    arrival.replica = m_id;
    arrival.tenant = request.header("Tenant");
    const std::string expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        answer(socket, 421,
               {{"Request-Id", arrival.request},
                {"Not-Executed", "1"},
                {"At-Server", m_address.text()}},
               "");
        return socket.isOpen();
    }
    const bool isDone = m_hook && m_hook(*this, socket, request, arrival);
    if (!isDone)
        arrival.hasRun = true;
    {
        const std::lock_guard guard(m_mutex);
        m_arrivals.push_back(arrival);
    }
    if (!isDone)
        serve(socket, request);
    return socket.isOpen();
}

void Replica::serve(Socket &socket, const Request &request)
{
    const std::string counts = request.header("Token-Counts");
    if (counts.empty()) {
        sleepFor(0.02);
        answer(socket, 200, signedHeaders(request),
               "done " + request.header("Request-Id") + " " + request.body);
        return;
    }
    const int last = std::atoi(counts.substr(counts.find(',') + 1).c_str());
    int next = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : signedHeaders(request))
        head += name + ": " + value + "\r\n";
    sleepFor(0.06);
    socket.write(head + "\r\n");
    for (; next <= last && socket.isOpen(); ++next) {
        const std::string event =
                "id: " + std::to_string(next) + "\ndata: piece " + std::to_string(next) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        socket.write(size + event + "\r\n");
        sleepFor(0.03);
    }
    socket.write("0\r\n\r\n");
}

void Replica::announceAll()
{
    const int generation = m_generation;
    const std::string id = m_id;
    const std::int64_t born = m_born;
    std::size_t next = randomNumber() % m_bed->controls.size();
    int sequence = 0;
    double dueAt = now();
    while (generation == m_generation) {
        if (now() < dueAt) {
            sleepFor(0.02);
            continue;
        }
        const std::string body =
                "{\"Service\":\"" + m_service + "\",\"Address\":\"" + m_address.text()
                + "\",\"Zone\":\"" + m_zone
                + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(m_slots)
                + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":[{"
                  "\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Seq\":"
                + std::to_string(++sequence) + ",\"born\":" + std::to_string(born) + "}";
        for (std::size_t n = 0; n < m_bed->controls.size() && generation == m_generation; ++n) {
            const Address &control = m_bed->controls[next % m_bed->controls.size()].control;
            const Response response = call(control, "POST", "/api/instances/" + id + "/heartbeat",
                                           {{"Content-Type", "application/json"}}, body, 1.0);
            if (response.status >= 200 && response.status < 300)
                break;
            ++next;
        }
        dueAt = now() + kHeartbeat;
    }
    --m_threads;
}

} // namespace review
