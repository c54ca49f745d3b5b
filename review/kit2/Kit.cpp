#include "Kit.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

int millisUntil(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}

/// Appends what arrives next. False at the end of the connection or when \a until has passed.
bool receive(int fd, std::string &bytes, Clock::time_point until)
{
    pollfd poll{fd, POLLIN, 0};
    if (::poll(&poll, 1, millisUntil(until)) <= 0)
        return false;
    char buffer[16'384];
    const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0)
        return false;
    bytes.append(buffer, static_cast<std::size_t>(n));
    return true;
}

/// Takes a line from the front of \a bytes, receiving as needed.
bool takeLine(int fd, std::string &bytes, std::string &line, Clock::time_point until)
{
    std::size_t end = 0;
    while ((end = bytes.find("\r\n")) == std::string::npos) {
        if (!receive(fd, bytes, until))
            return false;
    }
    line = bytes.substr(0, end);
    bytes.erase(0, end + 2);
    return true;
}

bool takeBytes(int fd, std::string &bytes, std::size_t count, std::string &to,
               Clock::time_point until)
{
    while (bytes.size() < count) {
        if (!receive(fd, bytes, until))
            break;
    }
    const std::size_t n = std::min(count, bytes.size());
    to.append(bytes, 0, n);
    bytes.erase(0, n);
    return n == count;
}

/// Inode of the socket at the other end of an accepted connection; 0 if it is not found.
unsigned long peerInode(int fd)
{
    sockaddr_in own{};
    sockaddr_in peer{};
    socklen_t size = sizeof own;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&own), &size);
    size = sizeof peer;
    ::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size);
    char wanted[64];
    std::snprintf(wanted, sizeof wanted, "%08X:%04X %08X:%04X", peer.sin_addr.s_addr,
                  ntohs(peer.sin_port), own.sin_addr.s_addr, ntohs(own.sin_port));
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        if (line.find(wanted) == std::string::npos)
            continue;
        std::istringstream words(line);
        std::string word;
        for (int n = 0; n < 10; ++n)
            words >> word;
        return std::strtoul(word.c_str(), nullptr, 10);
    }
    return 0;
}

/// Whether \a process holds the socket with this inode.
bool ownsSocket(pid_t process, unsigned long inode)
{
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    const std::string wanted = "socket:[" + std::to_string(inode) + "]";
    DIR *entries = ::opendir(folder.c_str());
    if (!entries)
        return false;
    bool isFound = false;
    while (const dirent *entry = ::readdir(entries)) {
        char target[128];
        const std::string path = folder + "/" + entry->d_name;
        const ssize_t n = ::readlink(path.c_str(), target, sizeof target - 1);
        isFound = isFound || (n > 0 && wanted == std::string(target, static_cast<std::size_t>(n)));
    }
    ::closedir(entries);
    return isFound;
}

int listenAt(const Endpoint &endpoint)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = socketAddress(endpoint);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

} // namespace

Record::Record(const std::string &path)
    : m_fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{ }

Record::~Record()
{
    ::close(m_fd);
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::string whole = std::to_string(now()) + " ms " + text + "\n";
    const std::lock_guard guard(m_mutex);
    [[maybe_unused]] const auto n = ::write(m_fd, whole.data(), whole.size());
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (key == name)
            return value;
    }
    return {};
}

Message readMessage(int fd, Clock::time_point until)
{
    Message message;
    std::string bytes;
    if (!takeLine(fd, bytes, message.startLine, until))
        return message;
    for (std::string line; takeLine(fd, bytes, line, until);) {
        if (line.empty()) {
            message.isWhole = true;
            break;
        }
        const auto colon = line.find(':');
        std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.fields.emplace_back(lowerCase(line.substr(0, colon)), value);
    }
    if (!message.isWhole)
        return message;
    if (lowerCase(message.field("transfer-encoding")) == "chunked") {
        for (;;) {
            std::string line;
            message.isWhole = takeLine(fd, bytes, line, until);
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string end;
            message.isWhole = message.isWhole && takeBytes(fd, bytes, size, message.body, until)
                              && takeBytes(fd, bytes, 2, end, until);
            if (!message.isWhole || size == 0)
                return message;
        }
    }
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    message.isWhole = takeBytes(fd, bytes, length, message.body, until);
    return message;
}

int connectTo(const Endpoint &to, Millis limit)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = socketAddress(to);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd poll{fd, POLLOUT, 0};
    int error = 1;
    socklen_t size = sizeof error;
    if (::poll(&poll, 1, static_cast<int>(limit.count())) == 1)
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

Reply call(const Endpoint &to, const std::string &method, const std::string &target,
           const std::string &fields, const std::string &body, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    Reply reply;
    const int fd = connectTo(to, std::min(limit, Millis(1'000)));
    if (fd < 0)
        return reply;
    std::string request = method + " " + target + " HTTP/1.1\r\n" + fields;
    if (!body.empty() || method == "POST")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request += "Connection: close\r\n\r\n" + body;
    if (sendAll(fd, request)) {
        reply.message = readMessage(fd, until);
        const auto space = reply.message.startLine.find(' ');
        if (space != std::string::npos)
            reply.status = std::atoi(reply.message.startLine.c_str() + space + 1);
    }
    ::close(fd);
    return reply;
}

Channel::Channel(const Endpoint &to)
    : m_fd(connectTo(to, Millis(1'000)))
{ }

Channel::~Channel()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

Reply Channel::call(const std::string &method, const std::string &target, const std::string &fields,
                    const std::string &body, Millis limit)
{
    Reply reply;
    if (!isOpen())
        return reply;
    std::string request = method + " " + target + " HTTP/1.1\r\n" + fields;
    if (!body.empty() || method == "POST")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (sendAll(m_fd, request + "\r\n" + body)) {
        reply.message = readMessage(m_fd, Clock::now() + limit);
        const auto space = reply.message.startLine.find(' ');
        if (space != std::string::npos && reply.message.isWhole)
            reply.status = std::atoi(reply.message.startLine.c_str() + space + 1);
    }
    const bool closes = lowerCase(reply.message.field("connection")) == "close";
    if (reply.status == 0 || closes) {
        ::close(m_fd);
        m_fd = -1;
    }
    return reply;
}

std::string nextAddress()
{
    static std::atomic<int> last{0};
    // Other cases and tests of the project may run beside this one.
    static const int net = 100 + static_cast<int>(::getpid() % 100);
    static const int part = 1 + static_cast<int>((::getpid() / 100) % 200);
    return "127." + std::to_string(net) + "." + std::to_string(part) + "." + std::to_string(++last);
}

std::uint16_t freePort(const std::string &address)
{
    const int fd = listenAt({address, 0});
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size);
    ::close(fd);
    return ntohs(bound.sin_port);
}

Replica::Replica(Record *record, Options options, std::vector<Endpoint> controls)
    : m_record(record)
    , m_options(std::move(options))
    , m_controls(std::move(controls))
{
    m_listen.address = nextAddress();
    m_listen.port = freePort(m_listen.address);
    m_listener = listenAt(m_listen);
    m_acceptThread = std::thread([this] { accept(); });
    m_reportThread = std::thread([this] { report(); });
}

Replica::~Replica()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    m_reportThread.join();
    {
        const std::lock_guard guard(m_mutex);
        for (const auto &it : m_connections) {
            if (it->fd >= 0)
                ::shutdown(it->fd, SHUT_RDWR);
        }
    }
    for (std::thread &it : m_threads)
        it.join();
    ::close(m_listener);
}

std::vector<Run> Replica::runs() const
{
    const std::lock_guard guard(m_mutex);
    return m_runs;
}

void Replica::cutFrom(pid_t process)
{
    m_cutFrom = process;
    const std::lock_guard guard(m_mutex);
    for (const auto &it : m_connections) {
        if (it->fd >= 0 && process != 0 && ownsSocket(process, it->peer))
            ::shutdown(it->fd, SHUT_RDWR);
    }
}

void Replica::accept()
{
    while (!m_isStopping) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        auto connection = std::make_shared<Connection>();
        connection->fd = fd;
        const std::lock_guard guard(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void Replica::serve(std::shared_ptr<Connection> connection)
{
    const int fd = connection->fd;
    const pid_t cutFrom = m_cutFrom;
    const unsigned long inode = peerInode(fd);
    if (cutFrom != 0 && ownsSocket(cutFrom, inode))
        return closeConnection(*connection, true);
    connection->peer = inode;
    while (!m_isStopping) {
        const Message request = readMessage(fd, Clock::now() + Millis(5'000));
        if (!request.isWhole || !answer(fd, request))
            break;
    }
    closeConnection(*connection, m_isCrashed);
}

void Replica::closeConnection(Connection &connection, bool isReset)
{
    const std::lock_guard guard(m_mutex);
    const linger noLinger{1, 0};
    if (isReset)
        ::setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    ::close(connection.fd);
    connection.fd = -1;
}

bool Replica::answer(int fd, const Message &request)
{
    const auto respond = [fd](const std::string &status, const std::string &fields,
                              const std::string &body) {
        return sendAll(fd, "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: "
                                   + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    const auto begin = request.startLine.find(' ') + 1;
    const std::string target =
            request.startLine.substr(begin, request.startLine.rfind(' ') - begin);
    if (target == "/health")
        return respond("200 OK", "Instance-Id: " + m_options.id + "\r\n", "");
    if (target == "/api/order")
        return respond("200 OK", "Content-Type: application/json\r\n", "{\"FreeSlots\":1}");
    const std::string id = request.field("request-id");
    const std::string echo = "Request-Id: " + id + "\r\n";
    const std::string expected = request.field("expect-instance");
    if (id.empty())
        return respond("400 Bad Request", "Not-Executed: 1\r\n", "");
    if (!expected.empty() && expected != m_options.id)
        return respond("421 Misdirected Request", echo + "Not-Executed: 1\r\n", "");
    {
        const std::lock_guard guard(m_mutex);
        m_runs.push_back({id, m_options.service, request.field("tenant"), m_record->now(), false});
    }
    m_record->line("run request=" + id + " service=" + m_options.service
                   + " replica=" + m_options.id + " tenant=" + request.field("tenant"));
    if (!request.field("token-counts").empty())
        return stream(fd, request, echo);
    std::this_thread::sleep_for(m_options.work);
    if (!respond("200 OK", echo + "Response-Seal: " + m_options.id + "\r\n",
                 m_options.service + " " + id))
        return false;
    noteAnswered(id);
    return true;
}

bool Replica::stream(int fd, const Message &request, const std::string &echo)
{
    std::this_thread::sleep_for(m_options.eventGap);
    if (!sendAll(fd, "HTTP/1.1 200 OK\r\n" + echo + "Response-Seal: " + m_options.id
                             + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n"))
        return false;
    const int first = std::atoi(request.field("last-event-id").c_str()) + 1;
    for (int n = first; n <= m_options.events && !m_isCrashed; ++n) {
        const std::string event =
                "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!sendAll(fd, size + event + "\r\n"))
            return false;
        std::this_thread::sleep_for(m_options.eventGap);
    }
    if (m_isCrashed || !sendAll(fd, "0\r\n\r\n"))
        return false;
    noteAnswered(request.field("request-id"));
    return true;
}

void Replica::noteAnswered(const std::string &request)
{
    const std::lock_guard guard(m_mutex);
    for (Run &it : m_runs)
        it.isAnswered = it.isAnswered || it.request == request;
}

void Replica::crash()
{
    m_isCrashed = true;
    // Refuses connections from now on.
    ::shutdown(m_listener, SHUT_RDWR);
    m_record->line("crash replica=" + m_options.id);
    const std::lock_guard guard(m_mutex);
    for (const auto &it : m_connections) {
        if (it->fd >= 0)
            ::shutdown(it->fd, SHUT_RDWR);
    }
}

void Replica::report()
{
    std::size_t control = 0;
    std::int64_t sequence = 0;
    Clock::time_point next = Clock::now() + m_options.firstHeartbeat;
    while (!m_isStopping && !m_isCrashed) {
        if (Clock::now() < next) {
            std::this_thread::sleep_for(Millis(10));
            continue;
        }
        const std::string body = "{\"Service\":\"" + m_options.service + "\",\"Address\":\""
                                 + m_listen.text() + "\",\"Zone\":\"" + m_options.zone
                                 + "\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\","
                                   "\"ColdRemainingMs\":0,\"Seq\":"
                                 + std::to_string(++sequence) + "}";
        const Reply reply =
                call(m_controls[control % m_controls.size()], "POST",
                     "/api/instances/" + m_options.id + "/heartbeat",
                     "Host: control\r\nContent-Type: application/json\r\n", body, Millis(1'000));
        if (reply.status >= 200 && reply.status < 300) {
            next += m_options.heartbeat;
            continue;
        }
        // Otherwise the next node is called.
        ++control;
        std::this_thread::sleep_for(Millis(100));
        next = std::max(next, Clock::now());
    }
}

Deployment::Deployment(Record *record, std::size_t frontCount)
    : m_record(record)
{
    const char *programs = std::getenv("REVIEW_PROGRAMS");
    m_programs = programs ? programs : "target/bin";
    char folder[] = "/tmp/hyssop-review-XXXXXX";
    m_folder = ::mkdtemp(folder);
    const std::string zones[] = {"hall-a", "hall-b", "hall-c"};
    const auto add = [&](std::vector<Machine> &to, const std::string &name,
                         const std::string &program, std::size_t n) {
        Machine machine;
        machine.name = name + "-" + std::to_string(n);
        machine.zone = zones[n % 3];
        machine.program = m_programs + "/" + program;
        machine.ip = nextAddress();
        machine.settingsPath = m_folder + "/" + machine.name + ".yaml";
        machine.logPath = m_folder + "/" + machine.name + ".log";
        to.push_back(machine);
    };
    for (std::size_t n = 0; n < 3; ++n) {
        add(cores, "core", "hyssop-platform-control", n);
        cores.back().dataFolder = m_folder + "/data-" + std::to_string(n);
        ::mkdir(cores.back().dataFolder.c_str(), 0755);
    }
    for (std::size_t n = 0; n < frontCount; ++n)
        add(fronts, "front", "hyssop-platform-entry", n);
    // Ports are the same on all machines; three in a row are free for the machines' own use.
    const std::string ip = cores.front().ip;
    m_peerPort = freePort(ip);
    do
        m_controlPort = freePort(ip);
    while (m_controlPort >= m_peerPort && m_controlPort <= m_peerPort + 8);
    do
        m_frontPort = freePort(ip);
    while ((m_frontPort >= m_peerPort && m_frontPort <= m_peerPort + 8)
           || m_frontPort == m_controlPort);
    do
        m_readyPort = freePort(ip);
    while ((m_readyPort >= m_peerPort && m_readyPort <= m_peerPort + 8)
           || m_readyPort == m_controlPort || m_readyPort == m_frontPort);
    for (Machine &it : cores)
        it.listen = {it.ip, m_controlPort};
    for (Machine &it : fronts) {
        it.listen = {it.ip, m_frontPort};
        it.ready = {it.ip, m_readyPort};
    }
    for (Machine &it : cores)
        start(it, true);
    for (Machine &it : fronts)
        start(it, true);
}

Deployment::~Deployment()
{
    for (Machine &it : fronts)
        kill(it);
    for (Machine &it : cores)
        kill(it);
    if (const char *keep = std::getenv("REVIEW_KEEP"); keep && *keep == '1') {
        m_record->line("logs kept in " + m_folder);
        return;
    }
    // The folder holds plain files and one level of data folders.
    const std::function<void(const std::string &)> removeFolder = [&](const std::string &path) {
        if (DIR *entries = ::opendir(path.c_str())) {
            while (const dirent *entry = ::readdir(entries)) {
                const std::string name = entry->d_name;
                if (name == "." || name == "..")
                    continue;
                if (::unlink((path + "/" + name).c_str()) != 0)
                    removeFolder(path + "/" + name);
            }
            ::closedir(entries);
        }
        ::rmdir(path.c_str());
    };
    removeFolder(m_folder);
}

std::string Deployment::settingsOf(const Machine &machine, bool isFirstStart) const
{
    const bool isCore = !machine.dataFolder.empty();
    std::string text = "Node: \"" + machine.name + "\"\nRole: \"" + (isCore ? "control" : "entry")
                       + "\"\nMachineClass: \"" + (isCore ? "core" : "front")
                       + "\"\nServes:\n  - \"" + (isCore ? "control" : "front") + "\"\nIp: \""
                       + machine.ip + "\"\nZone: \"" + machine.zone
                       + "\"\nRegion: \"thessaloniki\"\nZones:\n  hall-a: \"thessaloniki\"\n"
                         "  hall-b: \"thessaloniki\"\n  hall-c: \"thessaloniki\"\nListen:\n";
    if (isCore)
        text += "  Control: \"" + machine.listen.text() + "\"\n";
    else
        text += "  Front: \"" + machine.listen.text() + "\"\n  Ready: \"" + machine.ready.text()
                + "\"\n";
    text += "InternalPorts:\n  - " + std::to_string(m_peerPort) + "\n  - "
            + std::to_string(m_peerPort + 7) + "\nSeeds:\n";
    for (const Machine &it : cores)
        text += "  - \"" + it.listen.text() + "\"\n";
    text += std::string("Bootstrap: ") + (isFirstStart ? "true" : "false")
            + "\nCountLoss: " + (isCore ? "true" : "false")
            + "\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4200\n"
              "  LinkMbps: 1000.0\n  DiskMb: "
            + (isCore ? "128" : "0")
            + "\nDataDir: " + (isCore ? "\"" + machine.dataFolder + "\"" : std::string("null"))
            + "\nDiscovery: \"registry\"\nEntry: \"vip\"\nHeartbeatMs: 1200\nContracts:\n"
              "  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n"
              "  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"spans\"\n"
              "Tolerate:\n  Machines: 1\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedLagS: 3\n"
              "  ReuseAfterS: 2\n  ContactMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n"
              "  DrainMs: 2000\n  GraceS: 8\n  LossSlackMs: 200\n  ConfigDeadlineMs: 2000\n"
              "  RollbackSlackMs: 250\n  MaxStretchMs: 5000\n  FailClosed: true\n"
              "  RevokeMs: 5000\n  RetryBudgetRatio: 0.2\n  BudgetWindowS: 10\n"
              "  RetryBudgetExtra: 100\n  RecoverS: 12\n  PassMs: 120\n  RetryAfterS: 0\n"
              "ConfigMode: \"highest\"\n";
    return text;
}

void Deployment::start(Machine &machine, bool isFirstStart)
{
    std::ofstream(machine.settingsPath) << settingsOf(machine, isFirstStart);
    const pid_t child = ::fork();
    if (child == 0) {
        // A case that is ended from outside leaves no process behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(machine.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        const std::string setting = "HYSSOPSPAN_SETTINGS=" + machine.settingsPath;
        const char *path = std::getenv("PATH");
        const std::string search = std::string("PATH=") + (path ? path : "");
        char *const arguments[] = {const_cast<char *>(machine.program.c_str()), nullptr};
        char *const environment[] = {const_cast<char *>(setting.c_str()),
                                     const_cast<char *>(search.c_str()), nullptr};
        ::execve(machine.program.c_str(), arguments, environment);
        ::_exit(127);
    }
    machine.process = child;
    m_record->line("start machine=" + machine.name);
}

void Deployment::kill(Machine &machine)
{
    if (machine.process <= 0)
        return;
    ::kill(machine.process, SIGKILL);
    ::waitpid(machine.process, nullptr, 0);
    m_record->line("killed machine=" + machine.name);
    machine.process = 0;
}

void Deployment::signal(const Machine &machine, int number)
{
    ::kill(machine.process, number);
    m_record->line("signal machine=" + machine.name + " signal=" + ::strsignal(number));
}

std::string Deployment::ownEnd(Machine &machine)
{
    int status = 0;
    if (machine.process <= 0 || ::waitpid(machine.process, &status, WNOHANG) != machine.process)
        return {};
    machine.process = 0;
    const std::string end = WIFSIGNALED(status)
                                    ? std::string("signal ") + ::strsignal(WTERMSIG(status))
                                    : "exit code " + std::to_string(WEXITSTATUS(status));
    m_record->line("ended by itself machine=" + machine.name + " " + end);
    return end;
}

std::vector<Endpoint> Deployment::controlAddresses() const
{
    std::vector<Endpoint> addresses;
    for (const Machine &it : cores)
        addresses.push_back(it.listen);
    return addresses;
}

bool Deployment::isReady(const Machine &front) const
{
    return call(front.ready, "GET", "/api/ready", "Host: ready\r\n", "", Millis(1'000)).status
           == 200;
}

std::int64_t Deployment::put(const std::string &manifest, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    for (std::size_t n = 0; Clock::now() < until; ++n) {
        const Machine &core = cores[n % cores.size()];
        const Reply reply = call(core.listen, "POST", "/api/config/put",
                                 "Host: control\r\nContent-Type: application/json\r\n", manifest,
                                 Millis(1'000));
        m_record->line("manifest sent to=" + core.name + " status=" + std::to_string(reply.status)
                       + " body=" + manifest);
        if (reply.status == 200)
            return m_record->now();
        std::this_thread::sleep_for(Millis(100));
    }
    return -1;
}

bool Deployment::awaitReady(Millis limit) const
{
    return eventually(limit, [this] {
        return std::all_of(fronts.begin(), fronts.end(),
                           [this](const Machine &it) { return isReady(it); });
    });
}

bool eventually(Millis limit, const std::function<bool()> &condition)
{
    const Clock::time_point until = Clock::now() + limit;
    do {
        if (condition())
            return true;
        std::this_thread::sleep_for(Millis(20));
    } while (Clock::now() < until);
    return false;
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace review
