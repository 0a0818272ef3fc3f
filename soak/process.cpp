#include "process.h"

#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hornbeam::soak {

Process::Process(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<std::string> words = arguments;
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string &word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1); // the sockets of this process stay its own
    const int failure = ::posix_spawn(&this->id, pointers[0], &actions, nullptr, pointers.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        this->id = -1;
        this->end = failure;
    }
}

Process::~Process()
{
    if (!this->poll().has_value()) {
        this->signal(SIGKILL);
        ::waitpid(this->id, nullptr, 0);
    }
}

void Process::signal(int number) const
{
    if (this->id > 0 && !this->end.has_value()) {
        ::kill(this->id, number);
    }
}

std::optional<int> Process::poll()
{
    int status = 0;
    if (!this->end.has_value() && ::waitpid(this->id, &status, WNOHANG) == this->id) {
        this->end = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return this->end;
}

size_t Process::residentKb() const
{
    std::ifstream file("/proc/" + std::to_string(this->id) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

} // namespace hornbeam::soak
