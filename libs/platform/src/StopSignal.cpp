#include "platform/Platform.h"

#include <csignal>
#include <thread>
#include <unistd.h>

namespace hyssop::platform {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

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

} // namespace hyssop::platform
