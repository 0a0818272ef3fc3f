#pragma once

// Stand-ins for the cases of the third review: an event loop, the platform's store, packets, and the processes under test. Linux only.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <set>
#include <string>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace stage {

//--- Time and events

/** Milliseconds of the steady clock. */
inline double nowMs()
{
    using namespace std::chrono;
    return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}

inline uint64_t wallMs()
{
    using namespace std::chrono;
    return static_cast<uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

class Loop
{
public:
    Loop() : epoll(::epoll_create1(EPOLL_CLOEXEC))
    {
    }
    void add(int fd, std::function<void()> onReadable)
    {
        this->handlers[fd] = std::move(onReadable);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = fd;
        ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, fd, &event);
    }
    /** Stops or resumes the events of a descriptor. */
    void setReading(int fd, bool isReading)
    {
        epoll_event event{};
        event.events = isReading ? uint32_t{ EPOLLIN } : 0U;
        event.data.fd = fd;
        ::epoll_ctl(this->epoll, EPOLL_CTL_MOD, fd, &event);
    }
    void remove(int fd)
    {
        ::epoll_ctl(this->epoll, EPOLL_CTL_DEL, fd, nullptr);
        this->handlers.erase(fd);
    }
    void after(double ms, std::function<void()> work)
    {
        this->timers.emplace(nowMs() + ms, std::move(work));
    }
    void runUntil(const std::function<bool()> &isDone)
    {
        while (!isDone()) {
            this->turn();
        }
    }
    void runFor(double ms)
    {
        const double end = nowMs() + ms;
        this->runUntil([end] { return nowMs() >= end; });
    }

private:
    void turn()
    {
        while (!this->timers.empty() && this->timers.begin()->first <= nowMs()) {
            const std::function<void()> work = std::move(this->timers.begin()->second);
            this->timers.erase(this->timers.begin());
            work();
        }
        epoll_event events[128];
        const int count = ::epoll_wait(this->epoll, events, 128, 1);
        for (int i = 0; i < count; ++i) {
            const auto found = this->handlers.find(events[i].data.fd);
            if (found != this->handlers.end()) {
                const std::function<void()> handler = found->second; // it may remove itself
                handler();
            }
        }
    }

    int epoll;
    std::map<int, std::function<void()>> handlers;
    std::multimap<double, std::function<void()>> timers;
};

//--- Record

/** Writes what was sent, answered and run to a file. */
class Record
{
public:
    explicit Record(const std::string &path) : file(std::fopen(path.c_str(), "w")), start(nowMs())
    {
    }
    ~Record()
    {
        std::fclose(this->file);
    }
    void add(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::fprintf(this->file, "%9.1f ms  ", nowMs() - this->start);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
    }
    double sinceStart() const
    {
        return nowMs() - this->start;
    }

private:
    FILE *file;
    double start;
};

//--- Addresses

struct Address
{
    uint32_t host = 0;
    uint16_t port = 0;
    bool operator==(const Address &) const = default;
    auto operator<=>(const Address &) const = default;
};

inline std::string textOf(uint32_t host)
{
    char text[20];
    std::snprintf(text, sizeof(text), "%u.%u.%u.%u", host >> 24U, host >> 16U & 255U, host >> 8U & 255U, host & 255U);
    return text;
}

inline std::string textOf(const Address &address)
{
    return textOf(address.host) + ":" + std::to_string(address.port);
}

inline sockaddr_in toSocket(const Address &address)
{
    sockaddr_in socket{};
    socket.sin_family = AF_INET;
    socket.sin_addr.s_addr = htonl(address.host);
    socket.sin_port = htons(address.port);
    return socket;
}

inline int bindSocket(const Address &address, int type)
{
    const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in socket = toSocket(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&socket), sizeof(socket)) != 0) {
        std::fprintf(stderr, "cannot bind %s\n", textOf(address).c_str());
        std::exit(2);
    }
    return fd;
}

//--- Packets

constexpr uint8_t synFlag = 4;
constexpr uint8_t ackFlag = 1;
constexpr uint8_t finFlag = 64;
constexpr uint8_t rstFlag = 32;
constexpr size_t headBytes = 32;
constexpr size_t maxData = 1200;

struct Packet
{
    uint8_t flags = 0;
    uint32_t sum = 0;
    uint32_t echo = 0;
    uint32_t seq = 0;
    uint32_t ack = 0;
    Address src;
    Address dst;
    std::string data;
};

inline void put(std::string &out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; --i) {
        out.push_back(static_cast<char>(value >> (8U * static_cast<unsigned>(i)) & 255U));
    }
}

inline uint64_t get(const char *data, int bytes)
{
    uint64_t value = 0;
    for (int i = 0; i < bytes; ++i) {
        value = value << 8U | static_cast<uint8_t>(data[i]);
    }
    return value;
}

/** A keyed sum over everything except `echo`. */
inline uint32_t sumOf(const Packet &packet)
{
    std::string text = "key";
    put(text, packet.flags, 1);
    put(text, packet.seq, 4);
    put(text, packet.ack, 4);
    put(text, packet.src.host, 4);
    put(text, packet.src.port, 2);
    put(text, packet.dst.host, 4);
    put(text, packet.dst.port, 2);
    uint32_t hash = 2166136261U;
    for (const std::string *part : { static_cast<const std::string *>(&text), &packet.data }) {
        for (const char c : *part) {
            hash = (hash ^ static_cast<uint8_t>(c)) * 16777619U;
        }
    }
    return hash == 0 ? 1 : hash;
}

inline std::string write(Packet packet)
{
    packet.sum = sumOf(packet);
    std::string out;
    put(out, packet.data.size(), 2);
    put(out, packet.flags, 1);
    put(out, 0, 1);
    put(out, packet.sum, 4);
    put(out, packet.echo, 4);
    put(out, packet.seq, 4);
    put(out, packet.ack, 4);
    put(out, packet.src.port, 2);
    put(out, packet.dst.port, 2);
    put(out, packet.dst.host, 4);
    put(out, packet.src.host, 4);
    return out + packet.data;
}

inline bool parse(const char *data, size_t size, Packet &packet)
{
    if (size < headBytes || get(data, 2) != size - headBytes) {
        return false;
    }
    packet.flags = static_cast<uint8_t>(data[2]);
    packet.sum = static_cast<uint32_t>(get(data + 4, 4));
    packet.echo = static_cast<uint32_t>(get(data + 8, 4));
    packet.seq = static_cast<uint32_t>(get(data + 12, 4));
    packet.ack = static_cast<uint32_t>(get(data + 16, 4));
    packet.src.port = static_cast<uint16_t>(get(data + 20, 2));
    packet.dst.port = static_cast<uint16_t>(get(data + 22, 2));
    packet.dst.host = static_cast<uint32_t>(get(data + 24, 4));
    packet.src.host = static_cast<uint32_t>(get(data + 28, 4));
    packet.data.assign(data + headBytes, size - headBytes);
    return true;
}

//--- Store

/** The platform's store: lists, watches, conditional writes, and eras. */
class Store
{
public:
    Store(Loop &loop, const Address &address) : loop(loop), fd(bindSocket(address, SOCK_STREAM))
    {
        ::listen(this->fd, 512);
        this->loop.add(this->fd, [this] { this->accept(); });
        this->expire();
    }

    /** Writes an object as the operator or a backend does. Returns whether it changed. */
    bool put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = this->kinds[kind][name];
        if (object.rev != 0 && object.spec == spec) {
            return false;
        }
        object.spec = spec;
        object.rev = ++this->rev;
        object.createRev = object.createRev == 0 ? object.rev : object.createRev;
        this->log.push_back({ object.rev, kind, name, false, this->bodyOf(name, object) });
        this->wakeWatches();
        return true;
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end()) {
            return;
        }
        found->second.rev = ++this->rev;
        this->log.push_back({ this->rev, kind, name, true, this->bodyOf(name, found->second) });
        this->kinds[kind].erase(found);
        this->wakeWatches();
    }
    bool has(const std::string &kind, const std::string &name)
    {
        return this->kinds[kind].contains(name);
    }
    /** A backend's liveness report. Its entry is removed `lapseMs` after the last one. */
    void beat(const std::string &name, const std::string &spec)
    {
        this->beats[name] = nowMs();
        this->put("servers", name, spec);
    }
    void forget(const std::string &name)
    {
        this->beats.erase(name);
        this->remove("servers", name);
    }
    /** Away: calls and waiting watches are reset, and nothing is taken. */
    void setAway(bool away)
    {
        this->isAway = away;
        if (away) {
            this->watches.clear();
            while (!this->connections.empty()) {
                this->close(this->connections.begin()->first, true);
            }
        }
    }
    bool isAwayNow() const
    {
        return this->isAway;
    }
    void takeCopy()
    {
        this->copy = this->kinds;
        this->copyRev = this->rev;
    }
    void restoreCopy()
    {
        this->kinds = this->copy;
        this->rev = this->copyRev;
        ++this->era;
        this->log.clear();
        this->oldest = this->rev;
        for (auto &[name, at] : this->beats) {
            at = nowMs();
        }
        for (const auto &[name, object] : this->kinds["servers"]) {
            this->beats.try_emplace(name, nowMs());
        }
    }
    /** Removes the entries of all backends, which were silent for too long while the store was away. */
    void lapseAll()
    {
        while (!this->beats.empty()) {
            this->forget(this->beats.begin()->first);
        }
    }
    double lapseMs = 3600;
    uint64_t calls = 0;

private:
    struct Object
    {
        std::string spec;
        uint64_t rev = 0;
        uint64_t createRev = 0;
    };
    struct Event
    {
        uint64_t rev;
        std::string kind;
        std::string name;
        bool isRemoved;
        std::string body;
    };
    struct Watch
    {
        int fd;
        std::string kind;
        uint64_t from;
        double until;
    };
    using Kinds = std::map<std::string, std::map<std::string, Object>>;

    static std::string bodyOf(const std::string &name, const Object &object)
    {
        return R"({"meta":{"name":")" + name + R"(","rev":)" + std::to_string(object.rev) + R"(,"createRevision":)" + std::to_string(object.createRev)
            + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":null})";
    }
    void accept()
    {
        for (int peer = ::accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); peer >= 0;
             peer = ::accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
            this->connections[peer] = "";
            if (this->isAway) {
                this->close(peer, true);
                continue;
            }
            this->loop.add(peer, [this, peer] { this->read(peer); });
        }
    }
    void close(int peer, bool isReset)
    {
        if (isReset) {
            const linger now{ 1, 0 };
            ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        std::erase_if(this->watches, [peer](const Watch &watch) { return watch.fd == peer; });
        this->loop.remove(peer);
        this->connections.erase(peer);
        ::close(peer);
    }
    void read(int peer)
    {
        char buffer[65536];
        const ssize_t size = ::recv(peer, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            if (size == 0 || errno != EAGAIN) {
                this->close(peer, false);
            }
            return;
        }
        std::string &text = this->connections[peer];
        text.append(buffer, static_cast<size_t>(size));
        const size_t head = text.find("\r\n\r\n");
        if (head == std::string::npos) {
            return;
        }
        size_t length = 0;
        const size_t field = text.find("Content-Length:");
        if (field != std::string::npos && field < head) {
            length = std::strtoul(text.c_str() + field + 15, nullptr, 10);
        }
        if (text.size() >= head + 4 + length) {
            const std::string request = text.substr(0, head + 4 + length);
            text.clear();
            this->loop.after(4, [this, peer, request, head] {
                if (this->connections.contains(peer) && !this->isAway) {
                    this->handle(peer, request, request.substr(head + 4));
                }
            });
        }
    }
    void respond(int peer, const char *status, const std::string &body)
    {
        std::string text = std::string("HTTP/1.1 ") + status + "\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(this->era)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        size_t sent = 0;
        while (sent < text.size()) { // loopback takes a response of some KB at once
            const ssize_t size = ::send(peer, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (size < 0 && errno == EAGAIN) {
                ::usleep(100);
                continue;
            }
            if (size <= 0) {
                break;
            }
            sent += static_cast<size_t>(size);
        }
    }
    static uint64_t numberAfter(const std::string &text, const std::string &key)
    {
        const size_t at = text.find(key);
        return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + key.size(), nullptr, 10);
    }
    void handle(int peer, const std::string &request, const std::string &body)
    {
        ++this->calls;
        const size_t space = request.find(' ');
        const std::string method = request.substr(0, space);
        const std::string target = request.substr(space + 1, request.find(' ', space + 1) - space - 1);
        const std::string prefix = "/api/objects/";
        if (!target.starts_with(prefix)) {
            this->respond(peer, "404 Not Found", "{}");
            return;
        }
        const size_t mark = std::min(target.find('?'), target.size());
        const std::string path = target.substr(prefix.size(), mark - prefix.size());
        const std::string query = target.substr(mark);
        const size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (method == "GET" && query.find("watch=") != std::string::npos) {
            this->beginWatch(peer, kind, numberAfter(query, "watch="), static_cast<double>(numberAfter(query, "waitMs=")));
        } else if (method == "GET" && name.empty()) {
            this->list(peer, kind, query);
        } else if (method == "GET") {
            const auto found = this->kinds[kind].find(name);
            found == this->kinds[kind].end() ? this->respond(peer, "404 Not Found", "{}") : this->respond(peer, "200 OK", bodyOf(name, found->second));
        } else {
            this->write(peer, method, kind, name, body);
        }
    }
    void list(int peer, const std::string &kind, const std::string &query)
    {
        const size_t at = query.find("after=");
        const std::string after = at == std::string::npos ? "" : query.substr(at + 6, query.find('&', at) - at - 6);
        std::string items;
        size_t count = 0;
        bool hasMore = false;
        for (const auto &[name, object] : this->kinds[kind]) {
            if (name <= after) {
                continue;
            }
            if (++count > 500) {
                hasMore = true;
                break;
            }
            items += (items.empty() ? "" : ",") + bodyOf(name, object);
        }
        this->respond(peer, "200 OK",
                      "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false") + ",\"currentRev\":" + std::to_string(this->rev) + "}");
    }
    void beginWatch(int peer, const std::string &kind, uint64_t from, double waitMs)
    {
        if (from > this->rev || from < this->oldest) {
            this->respond(peer, "410 Gone", "{}");
            return;
        }
        this->watches.push_back({ peer, kind, from, nowMs() + waitMs });
        this->wakeWatches();
    }
    void wakeWatches()
    {
        std::erase_if(this->watches, [this](const Watch &watch) {
            std::string events;
            for (const Event &event : this->log) {
                if (event.rev > watch.from && event.kind == watch.kind) {
                    events += (events.empty() ? "" : ",") + std::string("{\"removed\":") + (event.isRemoved ? "true" : "false") + ",\"object\":" + event.body + "}";
                }
            }
            if (events.empty() && nowMs() < watch.until) {
                return false;
            }
            this->respond(watch.fd, "200 OK", "{\"events\":[" + events + "],\"currentRev\":" + std::to_string(this->rev) + "}");
            return true;
        });
    }
    // The daemons write strings of their own only; their specs are kept as they are.
    void write(int peer, const std::string &method, const std::string &kind, std::string name, const std::string &body)
    {
        if (method == "POST") {
            const size_t at = body.find("\"name\":\"");
            name = at == std::string::npos ? "" : body.substr(at + 8, body.find('"', at + 8) - at - 8);
        }
        const auto found = this->kinds[kind].find(name);
        const bool isKnown = found != this->kinds[kind].end();
        const uint64_t condition = numberAfter(body, "\"rev\":");
        if (method == "POST" ? isKnown : isKnown && condition != 0 && condition != found->second.rev) {
            this->respond(peer, "409 Conflict", bodyOf(name, found->second));
            return;
        }
        if (method != "POST" && !isKnown) {
            this->respond(peer, "404 Not Found", "{}");
            return;
        }
        const size_t at = body.find("\"spec\":");
        if (method == "DELETE" || at == std::string::npos) {
            this->remove(kind, name);
            this->respond(peer, "200 OK", "{}");
            return;
        }
        this->put(kind, name, body.substr(at + 7, body.rfind('}') - at - 7));
        this->respond(peer, "200 OK", bodyOf(name, this->kinds[kind][name]));
    }
    void expire()
    {
        this->wakeWatches();
        if (!this->isAway) {
            std::vector<std::string> lapsed;
            for (const auto &[name, at] : this->beats) {
                if (nowMs() - at > this->lapseMs) {
                    lapsed.push_back(name);
                }
            }
            for (const std::string &name : lapsed) {
                this->forget(name);
            }
        }
        this->loop.after(20, [this] { this->expire(); });
    }

    Loop &loop;
    int fd;
    Kinds kinds;
    Kinds copy;
    uint64_t rev = 100;
    uint64_t copyRev = 100;
    uint64_t oldest = 0;
    uint64_t era = 1;
    std::vector<Event> log;
    std::vector<Watch> watches;
    std::map<int, std::string> connections;
    std::map<std::string, double> beats;
    bool isAway = false;
};

//--- Processes under test

constexpr uint16_t datagramPort = 8172;
constexpr uint16_t readyPort = 8167;

struct Daemon
{
    std::string name;
    std::string zone;
    uint32_t host = 0;
    std::string settings;
    std::string log;
    pid_t pid = -1;
    int starts = 0;
    double startedAt = 0;
    int misses = 2;
    bool inRotation = false;
};

/** Starts instances with the command of the deploy file, and probes them as the routers do. */
class Fleet
{
public:
    Fleet(Loop &loop, std::string directory, const Address &store) : loop(loop), directory(std::move(directory)), store(store)
    {
    }
    ~Fleet()
    {
        for (const auto &daemon : this->all) {
            if (daemon->pid > 0) {
                ::kill(daemon->pid, SIGKILL);
                ::waitpid(daemon->pid, nullptr, 0);
            }
        }
    }
    Daemon &add(const std::string &zone, uint32_t host, bool isFirstStart)
    {
        auto daemon = std::make_unique<Daemon>();
        daemon->name = "front-" + zone + "-" + std::to_string(this->all.size() + 1);
        daemon->zone = zone;
        daemon->host = host;
        daemon->settings = this->directory + "/" + daemon->name + ".json";
        daemon->log = this->directory + "/" + daemon->name + ".log";
        this->writeSettings(*daemon, isFirstStart);
        this->all.push_back(std::move(daemon));
        return *this->all.back();
    }
    // as deploy/settings.template.json is rendered from the settings of a small deployment
    void writeSettings(const Daemon &daemon, bool isFirstStart) const
    {
        std::ofstream file(daemon.settings);
        file << "{\"name\":\"" << daemon.name << "\",\"zone\":\"" << daemon.zone << "\",\"address\":\"" << textOf(daemon.host)
             << "\",\"metrics_port\":7720,\"peer_port\":7735,\"platform\":\"" << textOf(this->store) << "\",\"flows\":{\"packet_address\":\""
             << textOf(Address{ daemon.host, datagramPort }) << "\",\"readiness_address\":\"" << textOf(Address{ daemon.host, readyPort })
             << "\",\"target_heartbeat_ms\":1200,\"drain_bound_ms\":3000,\"change_bound_ms\":3000,\"stability_ms\":4000,\"zone_routing\":1,\"first_start\":"
             << (isFirstStart ? "true" : "false") << ",\"seed_hosts\":[]}}";
    }
    void start(Daemon &daemon)
    {
        ++daemon.starts;
        daemon.startedAt = nowMs();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the script, however that ends
            const int out = ::open(daemon.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/hornbeamd", "target/hornbeamd", "--settings", daemon.settings.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        daemon.pid = pid;
    }
    /** Whether the process has ended; `status` as of waitpid(). */
    static bool hasEnded(Daemon &daemon, int &status)
    {
        if (daemon.pid <= 0 || ::waitpid(daemon.pid, &status, WNOHANG) != daemon.pid) {
            return false;
        }
        daemon.pid = -1;
        return true;
    }
    void beginProbes()
    {
        for (const auto &daemon : this->all) {
            this->probe(*daemon);
        }
        this->loop.after(500, [this] { this->beginProbes(); });
    }
    Daemon *findHost(uint32_t host)
    {
        for (const auto &daemon : this->all) {
            if (daemon->host == host) {
                return daemon.get();
            }
        }
        return nullptr;
    }
    /** The instance for a flow: by rendezvous hashing over those of the zone in rotation, or all of them if fewer than half are. */
    Daemon *route(const std::string &zone, uint64_t flow)
    {
        std::vector<Daemon *> inZone;
        std::vector<Daemon *> ready;
        for (const auto &daemon : this->all) {
            if (daemon->zone == zone) {
                inZone.push_back(daemon.get());
            }
        }
        for (Daemon *daemon : inZone) {
            if (daemon->inRotation) {
                ready.push_back(daemon);
            }
        }
        if (ready.empty()) {
            for (const auto &daemon : this->all) {
                if (daemon->inRotation) {
                    ready.push_back(daemon.get());
                }
            }
        }
        const std::vector<Daemon *> &used = 2 * ready.size() < inZone.size() && !ready.empty() && ready.front()->zone == zone ? inZone : ready;
        Daemon *best = nullptr;
        uint64_t bestHash = 0;
        for (Daemon *daemon : used) {
            uint64_t hash = (flow ^ (uint64_t{ daemon->host } * 0x9E3779B97F4A7C15ULL)) * 0xBF58476D1CE4E5B9ULL;
            hash ^= hash >> 29U;
            hash *= 0x94D049BB133111EBULL;
            if (best == nullptr || hash > bestHash) {
                best = daemon;
                bestHash = hash;
            }
        }
        return best;
    }
    std::vector<std::unique_ptr<Daemon>> all;

private:
    void probe(Daemon &daemon)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in remote = toSocket({ daemon.host, readyPort });
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0 && errno != EINPROGRESS) {
            ::close(fd);
            this->onProbe(daemon, false);
            return;
        }
        const auto isDone = std::make_shared<bool>(false);
        const auto finish = [this, fd, isDone, &daemon](bool isReady) {
            if (!*isDone) {
                *isDone = true;
                this->loop.remove(fd);
                ::close(fd);
                this->onProbe(daemon, isReady);
            }
        };
        this->loop.after(5, [fd, isDone] {
            const char request[] = "GET /ready HTTP/1.1\r\nHost: front\r\n\r\n";
            if (!*isDone) {
                static_cast<void>(::send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL));
            }
        });
        this->loop.add(fd, [fd, finish] {
            char buffer[512];
            const ssize_t size = ::recv(fd, buffer, sizeof(buffer), 0);
            if (size < 0 && errno == EAGAIN) {
                return;
            }
            finish(size > 12 && std::memcmp(buffer + 9, "200", 3) == 0);
        });
        this->loop.after(400, [finish] { finish(false); });
    }
    void onProbe(Daemon &daemon, bool isReady)
    {
        daemon.misses = isReady ? 0 : daemon.misses + 1;
        daemon.inRotation = isReady || (daemon.inRotation && daemon.misses < 2);
    }

    Loop &loop;
    const std::string directory;
    const Address store;
};

} // namespace stage
