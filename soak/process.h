#pragma once

// One of the project's programs as a process of its own. Only processes that were started here are ever signalled, by their ids.

#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hornbeam::soak {

/** Not thread safe. */
class Process
{
public:
    /** Starts a program; what it prints is appended to `logFile`. `arguments` begins with the program's path. */
    Process(const std::vector<std::string> &arguments, const std::string &logFile);
    /** Kills the process if it still runs. */
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** How the process ended: its exit code, or minus the signal that ended it; nothing while it runs. */
    std::optional<int> poll();
    /** Resident memory in KB; 0 when it can't be read. */
    size_t residentKb() const;

private:
    pid_t id = -1;
    std::optional<int> end;
};

} // namespace hornbeam::soak
