#pragma once

// Stand-in of the platform's store.

#include "loop.h"
#include "record.h"

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace standin {

/** The platform's store over HTTP/1.1: lists, watches, conditional writes. Entries of `servers` lapse after three heartbeat intervals of silence. */
class Store
{
public:
    Store(Loop &loop, Record &record, int64_t heartbeatMs) : loop(loop), record(record), heartbeatMs(heartbeatMs)
    {
        this->loop.every(50, [this] {
            this->sweep();
            return true;
        });
    }

    // Each machine has an address of its own to the store, so that the store can tell the machines apart.
    void listen(const std::string &machine, const Address &address)
    {
        const int fd = bindSocket(SOCK_STREAM, address);
        this->loop.watch(fd, POLLIN, [this, fd, machine](short) { this->accept(fd, machine); });
    }

    // Turns a machine away with 503, or serves it again. Its waiting watches are cut off.
    void refuse(const std::string &machine, bool isRefused)
    {
        this->record.line("store: %s machine %s", isRefused ? "turns away" : "serves again", machine.c_str());
        if (!isRefused) {
            this->refused.erase(machine);
            return;
        }
        this->refused.insert(machine);
        for (const ConnectionPtr &connection : std::vector<ConnectionPtr>(this->connections.begin(), this->connections.end())) {
            if (connection->machine == machine) {
                this->end(connection);
            }
        }
    }

    // Calls of a machine so far, without those that were refused.
    uint64_t callsOf(const std::string &machine)
    {
        return this->calls[machine];
    }

    // Writes an object as the operator, a target or another writer does. `spec` is stored byte for byte. The return is the acknowledgement.
    uint64_t write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = this->objects[kind][name];
        const uint64_t revision = ++this->revision;
        object.created = object.created == 0 ? revision : object.created;
        object.revision = revision;
        object.spec = spec;
        object.writtenAt = this->loop.now();
        this->addEvent(kind, name, object, false);
        return revision;
    }

    void remove(const std::string &kind, const std::string &name)
    {
        auto &named = this->objects[kind];
        const auto found = named.find(name);
        if (found == named.end()) {
            return;
        }
        Object object = found->second;
        named.erase(found);
        object.revision = ++this->revision;
        this->addEvent(kind, name, object, true);
    }

    bool has(const std::string &kind, const std::string &name)
    {
        return this->objects[kind].contains(name);
    }

private:
    static constexpr int64_t answerDelayMs = 4;
    static constexpr size_t pageItems = 500;

    struct Object
    {
        std::string spec;
        uint64_t revision = 0;
        uint64_t created = 0;
        int64_t writtenAt = 0;
    };
    struct Event
    {
        std::string kind;
        std::string text;
        uint64_t revision = 0;
    };
    struct Connection
    {
        int fd = -1;
        std::string machine;
        std::string input;
        bool isWatching = false;
        std::string watchedKind;
        uint64_t watchedFrom = 0;
        int64_t watchEnd = 0;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    static std::string objectText(const std::string &name, const Object &object)
    {
        return "{\"meta\":{\"name\":" + nlohmann::json(name).dump() + ",\"rev\":" + std::to_string(object.revision)
            + ",\"createRevision\":" + std::to_string(object.created) + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
    }

    void addEvent(const std::string &kind, const std::string &name, const Object &object, bool isRemoval)
    {
        this->history.push_back(
            { kind, std::string("{\"removed\":") + (isRemoval ? "true" : "false") + ",\"object\":" + objectText(name, object) + "}", object.revision });
        for (const ConnectionPtr &connection : std::vector<ConnectionPtr>(this->connections.begin(), this->connections.end())) {
            this->answerWatch(connection);
        }
    }

    void sweep()
    {
        const int64_t now = this->loop.now();
        std::vector<std::string> lapsed;
        for (const auto &[name, object] : this->objects["servers"]) {
            if (now - object.writtenAt > 3 * this->heartbeatMs) {
                lapsed.push_back(name);
            }
        }
        for (const std::string &name : lapsed) {
            this->record.line("store: entry servers/%s lapsed", name.c_str());
            this->remove("servers", name);
        }
        for (const ConnectionPtr &connection : std::vector<ConnectionPtr>(this->connections.begin(), this->connections.end())) {
            this->answerWatch(connection);
        }
    }

    void accept(int fd, const std::string &machine)
    {
        const int client = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        auto connection = std::make_shared<Connection>();
        connection->fd = client;
        connection->machine = machine;
        this->connections.insert(connection);
        this->loop.watch(client, POLLIN, [this, connection](short) { this->read(connection); });
    }

    void end(const ConnectionPtr &connection)
    {
        if (connection->fd >= 0) {
            this->loop.unwatch(connection->fd);
            close(connection->fd);
            connection->fd = -1;
            this->connections.erase(connection);
        }
    }

    void read(const ConnectionPtr &connection)
    {
        char buffer[16384];
        const ssize_t count = recv(connection->fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            if (count == 0 || errno != EAGAIN) {
                this->end(connection);
            }
            return;
        }
        connection->input.append(buffer, static_cast<size_t>(count));
        const size_t headEnd = connection->input.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return;
        }
        size_t length = 0;
        const size_t field = connection->input.find("Content-Length: ");
        if (field != std::string::npos && field < headEnd) {
            length = static_cast<size_t>(atoll(connection->input.c_str() + field + 16));
        }
        if (connection->input.size() < headEnd + 4 + length) {
            return;
        }
        const std::string head = connection->input.substr(0, connection->input.find("\r\n"));
        const std::string body = connection->input.substr(headEnd + 4, length);
        connection->input.clear();
        this->loop.after(answerDelayMs, [this, connection, head, body] { this->handle(connection, head, body); });
    }

    static std::string parameter(const std::string &query, const std::string &key)
    {
        size_t start = 0;
        while (start < query.size()) {
            const size_t end = std::min(query.find('&', start), query.size());
            const std::string part = query.substr(start, end - start);
            if (part.starts_with(key + "=")) {
                return part.substr(key.size() + 1);
            }
            start = end + 1;
        }
        return "";
    }

    void handle(const ConnectionPtr &connection, const std::string &head, const std::string &body)
    {
        if (this->refused.contains(connection->machine)) {
            this->answer(connection, 503, "{}");
            return;
        }
        ++this->calls[connection->machine];
        const size_t space = head.find(' ');
        const std::string method = head.substr(0, space);
        std::string target = head.substr(space + 1, head.rfind(' ') - space - 1);
        std::string query;
        if (const size_t mark = target.find('?'); mark != std::string::npos) {
            query = target.substr(mark + 1);
            target = target.substr(0, mark);
        }
        const std::string prefix = "/api/objects/";
        if (!target.starts_with(prefix)) {
            this->answer(connection, 404, "{}");
            return;
        }
        const std::string path = target.substr(prefix.size());
        const size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (method == "GET" && name.empty()) {
            const std::string watch = parameter(query, "watch");
            if (watch.empty()) {
                this->list(connection, kind, parameter(query, "after"));
                return;
            }
            connection->isWatching = true;
            connection->watchedKind = kind;
            connection->watchedFrom = strtoull(watch.c_str(), nullptr, 10);
            connection->watchEnd = this->loop.now() + atoll(parameter(query, "waitMs").c_str());
            this->answerWatch(connection);
            return;
        }
        if (method == "GET") {
            const auto found = this->objects[kind].find(name);
            found == this->objects[kind].end() ? this->answer(connection, 404, "{}") : this->answer(connection, 200, objectText(name, found->second));
            return;
        }
        const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
        if (!document.is_object() || !document.contains("meta")) {
            this->answer(connection, 400, "{}");
            return;
        }
        const std::string written = name.empty() ? document["meta"].value("name", "") : name;
        const uint64_t condition = document["meta"].value("rev", 0ULL);
        auto &named = this->objects[kind];
        const auto found = named.find(written);
        if (method == "POST" ? found != named.end() : found != named.end() && condition != 0 && condition != found->second.revision) {
            this->answer(connection, 409, objectText(written, found->second));
            return;
        }
        if (method == "PUT" && found == named.end()) {
            this->answer(connection, 404, "{}");
            return;
        }
        this->write(kind, written, document["spec"].dump());
        this->answer(connection, 200, objectText(written, this->objects[kind][written]));
    }

    void list(const ConnectionPtr &connection, const std::string &kind, const std::string &after)
    {
        std::string items;
        size_t count = 0;
        bool hasMore = false;
        for (const auto &[name, object] : this->objects[kind]) {
            if (!after.empty() && name <= after) {
                continue;
            }
            if (count == pageItems) {
                hasMore = true;
                break;
            }
            items += (count++ == 0 ? "" : ",") + objectText(name, object);
        }
        this->answer(connection, 200,
                     "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false") + ",\"currentRev\":" + std::to_string(this->revision) + "}");
    }

    void answerWatch(const ConnectionPtr &connection)
    {
        if (!connection->isWatching || connection->fd < 0) {
            return;
        }
        std::string events;
        for (const Event &event : this->history) {
            if (event.kind == connection->watchedKind && event.revision > connection->watchedFrom) {
                events += (events.empty() ? "" : ",") + event.text;
            }
        }
        if (events.empty() && this->loop.now() < connection->watchEnd) {
            return;
        }
        connection->isWatching = false;
        const std::string body = "{\"events\":[" + events + "],\"currentRev\":" + std::to_string(this->revision) + "}";
        this->answer(connection, 200, body);
    }

    void answer(const ConnectionPtr &connection, int status, const std::string &body)
    {
        if (connection->fd < 0) {
            return;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
        // the responses of these small deployments fit into the socket's buffer
        if (send(connection->fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
            this->record.line("store: a response was cut short");
        }
        this->end(connection);
    }

    Loop &loop;
    Record &record;
    const int64_t heartbeatMs;
    uint64_t revision = 100;
    std::set<std::string> refused;
    std::map<std::string, uint64_t> calls;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::deque<Event> history;
    std::set<ConnectionPtr> connections;
};

} // namespace standin
