#include "Process.h"

#include <cassert>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssop::harness {

namespace {

constexpr base::Millis kPollPause{5};
constexpr int kExecFailed = 127;

/// What the child needs, made before the fork: after it, only plain system calls are allowed.
struct Image
{
    std::string path;
    std::vector<char *> arguments;
    int log = -1;
    rlim_t maxFileBytes = 0;
    pid_t parent = 0;
};

[[noreturn]] void becomeProgram(const Image &image)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != image.parent)
        ::_exit(kExecFailed);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(image.log, STDOUT_FILENO);
    ::dup2(image.log, STDERR_FILENO);
    // Sockets of the test would live on in the program, and keep their ports.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    if (image.maxFileBytes > 0) {
        rlimit limit{};
        ::getrlimit(RLIMIT_FSIZE, &limit);
        limit.rlim_cur = image.maxFileBytes;
        ::setrlimit(RLIMIT_FSIZE, &limit);
        // A write over the limit is to fail as on a full disk.
        ::signal(SIGXFSZ, SIG_IGN);
    }
    ::execv(image.path.c_str(), image.arguments.data());
    ::_exit(kExecFailed);
}

/// Path of a program: in the folder HYSSOP_PROGRAMS if it has it, else of this build.
std::string programPath(const std::string &program)
{
    const char *folder = std::getenv("HYSSOP_PROGRAMS");
    const auto path = std::filesystem::path(folder ? folder : "") / program;
    if (folder && std::filesystem::exists(path))
        return path;
    return std::string(HYSSOP_BIN_DIR) + "/" + program;
}

} // namespace

void pollPause()
{
    std::this_thread::sleep_for(kPollPause);
}

Process::Process(ProcessOptions options)
{
    Image image;
    image.path = programPath(options.program);
    image.arguments.push_back(image.path.data());
    for (std::string &argument : options.arguments)
        image.arguments.push_back(argument.data());
    image.arguments.push_back(nullptr);
    image.log = ::open(options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    image.maxFileBytes = static_cast<rlim_t>(options.maxFileBytes);
    image.parent = ::getpid();
    m_id = ::fork();
    if (m_id == 0)
        becomeProgram(image);
    ::close(image.log);
    assert(m_id > 0 && "the caller starts more processes than the machine allows");
}

Process::~Process()
{
    if (!isRunning())
        return;
    ::kill(m_id, SIGKILL);
    reap(0);
}

void Process::reap(int flags)
{
    if (m_exit)
        return;
    int status = 0;
    pid_t got = 0;
    do {
        got = ::waitpid(m_id, &status, flags);
    } while (got < 0 && errno == EINTR);
    if (got != m_id)
        return;
    if (WIFEXITED(status))
        m_exit = Exit{WEXITSTATUS(status), 0};
    else if (WIFSIGNALED(status))
        m_exit = Exit{-1, WTERMSIG(status)};
}

bool Process::isRunning()
{
    reap(WNOHANG);
    return !m_exit;
}

void Process::limitFiles(std::size_t bytes)
{
    if (!isRunning())
        return;
    rlimit limit{};
    ::prlimit(m_id, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = bytes;
    ::prlimit(m_id, RLIMIT_FSIZE, &limit, nullptr);
}

void Process::liftFileLimit()
{
    if (!isRunning())
        return;
    rlimit limit{};
    ::prlimit(m_id, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::prlimit(m_id, RLIMIT_FSIZE, &limit, nullptr);
}

void Process::signal(int number)
{
    // A reaped process' id may belong to another one.
    if (!isRunning())
        return;
    m_isEndExpected = m_isEndExpected || number == SIGKILL || number == SIGTERM;
    ::kill(m_id, number);
}

std::optional<Exit> Process::wait(base::Millis limit)
{
    if (eventually(limit, [this] { return !isRunning(); }))
        m_isEndExpected = true;
    return m_exit;
}

std::optional<Exit> Process::unexpectedExit()
{
    return isRunning() || m_isEndExpected ? std::nullopt : m_exit;
}

} // namespace hyssop::harness
