#pragma once

// Event loop, loopback addresses and sockets of the stand-ins.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace standin {

inline int64_t steadyMillis()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1000LL + time.tv_nsec / 1000000;
}

inline int64_t wallMillis()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return time.tv_sec * 1000LL + time.tv_nsec / 1000000;
}

class Loop
{
public:
    int64_t now() const
    {
        return steadyMillis() - this->startedAt;
    }
    void after(int64_t ms, std::function<void()> run)
    {
        this->timers.emplace(this->now() + ms, std::move(run));
    }
    // Runs until `run` returns false.
    void every(int64_t ms, std::function<bool()> run)
    {
        this->after(ms, [this, ms, run] {
            if (run()) {
                this->every(ms, run);
            }
        });
    }
    void watch(int fd, short events, std::function<void(short)> run)
    {
        this->watched[fd] = { events, std::move(run) };
    }
    void unwatch(int fd)
    {
        this->watched.erase(fd);
    }
    void runUntil(int64_t end)
    {
        while (this->now() < end && !this->isStopped) {
            this->step(end);
        }
    }
    bool isStopped = false;

private:
    void step(int64_t end)
    {
        int64_t wait = end - this->now();
        if (!this->timers.empty()) {
            wait = std::min(wait, this->timers.begin()->first - this->now());
        }
        std::vector<pollfd> polled;
        for (const auto &[fd, entry] : this->watched) {
            polled.push_back({ fd, entry.events, 0 });
        }
        poll(polled.data(), polled.size(), static_cast<int>(std::max<int64_t>(0, std::min<int64_t>(wait, 50))));
        for (const pollfd &entry : polled) {
            const auto found = this->watched.find(entry.fd);
            if (entry.revents != 0 && found != this->watched.end()) {
                const auto run = found->second.run; // the handler may remove itself
                run(entry.revents);
            }
        }
        while (!this->timers.empty() && this->timers.begin()->first <= this->now()) {
            const auto run = this->timers.begin()->second;
            this->timers.erase(this->timers.begin());
            run();
        }
    }

    struct Watched
    {
        short events = 0;
        std::function<void(short)> run;
    };
    const int64_t startedAt = steadyMillis();
    std::multimap<int64_t, std::function<void()>> timers;
    std::map<int, Watched> watched;
};

struct Address
{
    uint32_t host = 0; // host byte order
    uint16_t port = 0;

    bool operator<(const Address &other) const
    {
        return std::pair(this->host, this->port) < std::pair(other.host, other.port);
    }
    bool operator==(const Address &other) const = default;
};

inline uint32_t ip(const char *text)
{
    in_addr address{};
    inet_pton(AF_INET, text, &address);
    return ntohl(address.s_addr);
}

// A loopback address of this run: runs at the same time use different third octets, so that their ports don't clash.
inline uint32_t ownIp(const char *text)
{
    return ip(text) + (static_cast<uint32_t>(getpid()) % 250 << 8);
}

inline std::string hostText(uint32_t host)
{
    char text[32];
    snprintf(text, sizeof(text), "%u.%u.%u.%u", host >> 24, (host >> 16) & 255, (host >> 8) & 255, host & 255);
    return text;
}

inline std::string text(const Address &address)
{
    return hostText(address.host) + ":" + std::to_string(address.port);
}

inline sockaddr_in native(const Address &address)
{
    sockaddr_in found{};
    found.sin_family = AF_INET;
    found.sin_addr.s_addr = htonl(address.host);
    found.sin_port = htons(address.port);
    return found;
}

/** The case can't run, for a reason other than the balancer's behaviour under the disruption. */
struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline int bindSocket(int type, const Address &address)
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = native(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0 || (type == SOCK_STREAM && listen(fd, 128) != 0)) {
        throw CannotRun("cannot bind " + text(address) + ": " + strerror(errno));
    }
    return fd;
}

inline uint16_t freePort()
{
    const int fd = bindSocket(SOCK_STREAM, { ip("127.0.0.1"), 0 });
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
    close(fd);
    return ntohs(local.sin_port);
}

} // namespace standin
