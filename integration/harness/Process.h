#pragma once

#include "base/Base.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace hyssop::harness {

struct ProcessOptions
{
    /// Name of a binary, of this build or in the folder HYSSOP_PROGRAMS, or the path of one.
    std::string program;
    std::vector<std::string> arguments;
    std::filesystem::path log; ///< Standard output and error are appended here.
    std::int64_t maxFileBytes = 0; ///< Bound on each file it writes; 0: none.
};

/// How a process ended.
struct Exit
{
    int code = -1; ///< Exit code; -1 when a signal ended it.
    int signal = 0;
};

/// A child process; ended and reaped with this object at the latest. To be started from the main
/// thread: the kernel ends the child when the thread that started it ends.
class Process
{
public:
    explicit Process(ProcessOptions options);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const { return m_id; }
    bool isRunning();
    void signal(int number);
    /// From now on no file of it grows beyond \a bytes, as on a full disk. Only for a process that
    /// was started with ProcessOptions::maxFileBytes.
    void limitFiles(std::size_t bytes);
    /// From now on it may write as much as before its ProcessOptions::maxFileBytes.
    void liftFileLimit();
    /// Waits for the end; empty when the process outlives \a limit.
    std::optional<Exit> wait(base::Millis limit);
    /// How the process ended when no signal had asked it to and wait() has not told of it.
    std::optional<Exit> unexpectedExit();

private:
    void reap(int flags);

    pid_t m_id = -1;
    std::optional<Exit> m_exit;
    bool m_isEndExpected = false; ///< A signal asked for it, or wait() has told of it.
};

/// Calls \a isDone again and again until it answers true; false when \a limit passes first.
template <typename Predicate>
bool eventually(base::Millis limit, const Predicate &isDone);

/// Waits a short while between two looks.
void pollPause();

template <typename Predicate>
bool eventually(base::Millis limit, const Predicate &isDone)
{
    const base::TimePoint until = base::monotonicNow() + limit;
    while (!isDone()) {
        if (base::monotonicNow() >= until)
            return false;
        pollPause();
    }
    return true;
}

} // namespace hyssop::harness
