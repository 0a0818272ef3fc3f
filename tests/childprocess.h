#pragma once

// Runs one of the project's binaries for an end-to-end test and reads its output. Only tests start processes.

#include "paths.h"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace hornbeam {

/** A child process, which is terminated by the destructor. */
class ChildProcess
{
public:
    ChildProcess(const std::string &binary, std::vector<std::string> arguments)
    {
        int out[2] = { -1, -1 };
        if (::pipe2(out, O_CLOEXEC) != 0) {
            return;
        }
        arguments.insert(arguments.begin(), binaryDirectory() + "/" + binary);
        std::vector<char *> pointers;
        for (std::string &argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_adddup2(&actions, out[1], STDOUT_FILENO);
        ::posix_spawn_file_actions_adddup2(&actions, out[1], STDERR_FILENO);
        if (::posix_spawn(&this->process, pointers[0], &actions, nullptr, pointers.data(), environ) != 0) {
            this->process = -1;
        }
        ::posix_spawn_file_actions_destroy(&actions);
        ::close(out[1]);
        this->output = out[0];
    }
    ~ChildProcess()
    {
        if (this->process > 0) {
            ::kill(this->process, SIGTERM);
            this->wait();
        }
        ::close(this->output);
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Returns the next line without the newline character, or an empty string at the end of the output or after 20 s without output. */
    std::string readLine()
    {
        std::string line;
        char byte = 0;
        while (this->readByte(byte) && byte != '\n') {
            line += byte;
        }
        return line;
    }
    /** Returns all output until the process closes it, or until 20 s pass without output. */
    std::string readAll()
    {
        std::string text;
        char byte = 0;
        while (this->readByte(byte)) {
            text += byte;
        }
        return text;
    }
    /** Waits for the process to end. Returns the exit code, or -1 if it did not start or was terminated by a signal. */
    int wait()
    {
        int status = 0;
        const bool isReaped = this->process > 0 && ::waitpid(this->process, &status, 0) == this->process;
        this->process = -1;
        return isReaped && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    void sendSignal(int signal)
    {
        if (this->process > 0) { // kill(-1) would signal every process
            ::kill(this->process, signal);
        }
    }

private:
    bool readByte(char &byte)
    {
        constexpr int maxWaitMs = 20000;
        pollfd pollRequest{ this->output, POLLIN, 0 };
        return ::poll(&pollRequest, 1, maxWaitMs) == 1 && ::read(this->output, &byte, 1) == 1;
    }

    pid_t process = -1;
    int output = -1;
};

/** The platform stand-in on a free loopback port. */
class PlatformProcess
{
public:
    explicit PlatformProcess(std::vector<std::string> arguments = {}) : child("standins-platform", std::move(arguments))
    {
        const std::string line = this->child.readLine();
        const std::string expected = "listening ";
        this->address = line.starts_with(expected) ? line.substr(expected.size()) : "";
    }

    ChildProcess child;
    std::string address; // a.b.c.d:port; empty if the process did not start
};

} // namespace hornbeam
