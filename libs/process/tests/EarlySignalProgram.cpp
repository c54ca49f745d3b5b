// A program that gets SIGHUP and SIGTERM before main(). It ends with 0 if both are held back.

#include "process/Process.h"

#include <csignal>

using namespace hyssop;

namespace {

[[gnu::used,
  gnu::section(".preinit_array")]] void (*const kBlockSignals)() = process::blockSignalsEarly;

/// Raises the signals while static objects are constructed.
struct EarlySignals
{
    EarlySignals()
    {
        ::raise(SIGHUP);
        ::raise(SIGTERM);
    }
};

const EarlySignals kEarlySignals;

} // namespace

int main()
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGHUP) == 1 && sigismember(&pending, SIGTERM) == 1 ? 0 : 1;
}
