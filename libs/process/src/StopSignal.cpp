#include "process/Process.h"

#include <csignal>
#include <cstdint>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

namespace hyssop::process {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

sigset_t handledSignals()
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGHUP);
    return set;
}

/// A set of signals as the kernel represents it.
constexpr std::uint64_t kernelSet(std::initializer_list<int> signals)
{
    std::uint64_t set = 0;
    for (const int signal : signals)
        set |= std::uint64_t(1) << (signal - 1);
    return set;
}

void blockInKernel(const std::uint64_t &set) noexcept
{
    ::syscall(SYS_rt_sigprocmask, SIG_BLOCK, &set, nullptr, sizeof(set));
}

} // namespace

void blockStopSignalsEarly() noexcept
{
    constexpr std::uint64_t kSet = kernelSet({SIGTERM, SIGINT});
    blockInKernel(kSet);
}

void blockSignalsEarly() noexcept
{
    constexpr std::uint64_t kSet = kernelSet({SIGTERM, SIGINT, SIGHUP});
    blockInKernel(kSet);
}

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
}

void requestStop()
{
    ::kill(::getpid(), SIGTERM);
}

void runUntilStopped(const std::function<void()> &run, const std::function<void()> &stop)
{
    std::thread thread(run);
    waitForStopSignal();
    stop();
    thread.join();
}

void blockSignals()
{
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void runWithSignals(const std::function<void()> &run, const std::function<void()> &reload,
                    const std::function<void()> &stop)
{
    std::thread thread(run);
    const sigset_t set = handledSignals();
    for (;;) {
        int signal = 0;
        sigwait(&set, &signal);
        if (signal != SIGHUP)
            break;
        reload();
    }
    stop();
    thread.join();
}

} // namespace hyssop::process
