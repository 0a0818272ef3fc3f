#pragma once

// A complete system of real processes on loopback for end-to-end tests: platform, targets, balancers of one zone, fabric.

#include "childprocess.h"
#include "core/clock.h"
#include "core/types.h"
#include "store/httpget.h"

#include <arpa/inet.h>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sys/socket.h>
#include <thread>

namespace hornbeam {

/** Polls until the condition is true. Returns false if it isn't within the time limit. */
inline bool eventually(Duration limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return condition();
}

/** A plain socket, for packets that the client libraries would not send. */
class RawSocket
{
public:
    explicit RawSocket(int type, const Endpoint &local = {}) : descriptor(::socket(AF_INET, type, 0))
    {
        const timeval limit{ 2, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        if (local.port != 0) {
            const sockaddr_in address = toSockaddr(local);
            ::bind(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        }
    }
    ~RawSocket()
    {
        ::close(this->descriptor);
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    bool connect(const Endpoint &to)
    {
        const sockaddr_in address = toSockaddr(to);
        return ::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    void send(const Bytes &packet)
    {
        ::send(this->descriptor, packet.data(), packet.size(), MSG_NOSIGNAL);
    }
    /** Receives a packet and connects to its sender. Returns an empty packet if none arrives within 2 s. */
    Bytes receiveAndConnect()
    {
        Bytes packet(65536);
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        const ssize_t received = ::recvfrom(this->descriptor, packet.data(), packet.size(), 0, reinterpret_cast<sockaddr *>(&from), &size);
        packet.resize(received > 0 ? static_cast<size_t>(received) : 0);
        if (received > 0) {
            ::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&from), size);
        }
        return packet;
    }

private:
    static sockaddr_in toSockaddr(const Endpoint &endpoint)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.address);
        address.sin_port = htons(endpoint.port);
        return address;
    }
    int descriptor;
};

inline Endpoint endpointOf(const std::string &text)
{
    Endpoint endpoint;
    parseEndpoint(text, endpoint);
    return endpoint;
}

/** Balancers e1 to e3 of zone kl-1 at 127.0.5.1 to 127.0.5.3, with booking on port 25683 and catalogue on 25684. */
class SystemFixture
{
public:
    SystemFixture() : filePrefix("/tmp/hornbeam_system_" + std::to_string(::getpid()))
    {
        std::ofstream(this->keyFile()) << "000102030405060708090a0b0c0d0e0f";
        this->runCtl({ "create", "booking", "--port", "25683" });
        this->runCtl({ "create", "catalogue", "--port", "25684" });
        for (int i = 1; i <= 4; ++i) {
            this->addTarget("booking", "b" + std::to_string(i), "127.0.6." + std::to_string(i) + ":27000");
        }
        this->addTarget("catalogue", "c1", "127.0.6.11:27000");
        this->fabric = std::make_unique<ChildProcess>(
            "standins-fabric",
            std::vector<std::string>{ "--service", "127.0.5.100:27601=25683", "--service", "127.0.5.100:27602=25684", "--control", "127.0.5.100:27100" });
        this->fabric->readLine();
    }
    ~SystemFixture()
    {
        for (auto &[name, child] : this->balancers) {
            child->sendSignal(SIGKILL); // draining at the end of a test would only take time
        }
        for (auto &[name, child] : this->targets) {
            child->sendSignal(SIGKILL);
        }
        std::remove(this->keyFile().c_str());
    }
    SystemFixture(const SystemFixture &) = delete;
    SystemFixture &operator=(const SystemFixture &) = delete;

    std::string keyFile() const
    {
        return this->filePrefix + ".key";
    }
    static Endpoint addressOf(const std::string &name, uint16_t port)
    {
        return endpointOf("127.0.5." + name.substr(1) + ":" + std::to_string(port));
    }
    /** Runs hornbeamctl and returns its exit code. */
    int runCtl(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), { "--platform", this->platform.address, "--who", "ana" });
        ChildProcess child("hornbeamctl", arguments);
        child.readAll();
        return child.wait();
    }
    void setOutage(bool isOut)
    {
        const std::string body = isOut ? R"({"outage":true})" : R"({"outage":false})";
        RawSocket socket(SOCK_STREAM);
        socket.connect(endpointOf(this->platform.address));
        const std::string request =
            "POST /faults HTTP/1.1\r\nHost: p\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        socket.send(Bytes(request.begin(), request.end()));
        socket.receiveAndConnect();
    }
    /** Starts a balancer whose settings list the other balancers as seeds. The platform's list of instances stays empty. */
    void startBalancer(const std::string &name)
    {
        const std::string file = this->filePrefix + name + ".json";
        std::string seeds;
        for (const std::string other : { "e1", "e2", "e3" }) {
            seeds += other == name
                ? ""
                : (seeds.empty() ? "" : ",") + std::string(R"({"name":")") + other + R"(","zone":"kl-1","peer":")" + toString(addressOf(other, 27946)) + "\"}";
        }
        std::ofstream(file) << R"({"name":")" << name << R"(","zone":"kl-1","address":"127.0.5.)" << name.substr(1)
                            << R"(","peer_port":27946,"metrics_port":29464,"platform":")" << this->platform.address << R"(","key_files":[")" << this->keyFile()
                            << R"("],"workers":2,"drain_seconds":10,"seeds":[)" << seeds << "]}";
        this->balancers[name] = std::make_unique<ChildProcess>("hornbeamd", std::vector<std::string>{ "--settings", file });
        this->balancers[name]->readLine(); // the line "state=serving" means that the settings file has been read
        std::remove(file.c_str());
    }
    /** Starts all three balancers and waits until each one knows the others and has both tables. */
    bool startAll()
    {
        for (const std::string name : { "e1", "e2", "e3" }) {
            this->startBalancer(name);
        }
        this->setFabricInstances({ "e1", "e2", "e3" });
        return eventually(seconds(15), [this] {
            return this->metricValue("e1", "hornbeam_members{state=\"alive\"}") == 3 && this->metricValue("e2", "hornbeam_members{state=\"alive\"}") == 3
                && this->metricValue("e3", "hornbeam_members{state=\"alive\"}") == 3 && this->hasTables("e1") && this->hasTables("e2") && this->hasTables("e3");
        });
    }
    bool hasTables(const std::string &name)
    {
        return this->metricValue(name, "hornbeam_table_version{service=\"booking\"}") > 0
            && this->metricValue(name, "hornbeam_table_version{service=\"catalogue\"}") > 0;
    }
    /** Sets the balancers that the fabric distributes packets to. */
    void setFabricInstances(const std::vector<std::string> &names)
    {
        std::string list;
        for (const std::string &name : names) {
            list += (list.empty() ? "" : ",") + std::string(R"({"address":"127.0.5.)") + name.substr(1) + R"(","zone":"kl-1"})";
        }
        RawSocket socket(SOCK_DGRAM);
        socket.connect(endpointOf("127.0.5.100:27100"));
        const std::string command = "{\"instances\":[" + list + "]}";
        socket.send(Bytes(command.begin(), command.end()));
        socket.receiveAndConnect();
    }
    /** Returns a value of a balancer's metrics page, or -1 if the metric is missing or the page unavailable. */
    int64_t metricValue(const std::string &balancer, const std::string &name)
    {
        const std::string page = "\n" + httpGet(addressOf(balancer, 29464), "/metrics", seconds(1)).value_or("");
        const size_t at = page.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stoll(page.substr(at + name.size() + 2));
    }
    std::unique_ptr<ChildProcess> startCallers(const std::string &service, std::vector<std::string> arguments)
    {
        const std::string to = service == "booking" ? "127.0.5.100:27601" : "127.0.5.100:27602";
        arguments.insert(arguments.begin(), { "--service", service, "--to", to, "--seed", "7" });
        return std::make_unique<ChildProcess>("standins-caller", arguments);
    }
    /** Terminates the targets and returns their complete output. */
    std::string stopTargets()
    {
        std::string text;
        for (auto &[name, child] : this->targets) {
            child->sendSignal(SIGTERM);
        }
        for (auto &[name, child] : this->targets) {
            text += child->readAll();
            child->wait();
        }
        return text;
    }

    PlatformProcess platform;
    std::map<std::string, std::unique_ptr<ChildProcess>> balancers;

private:
    void addTarget(const std::string &service, const std::string &name, const std::string &address)
    {
        this->runCtl({ "add", service, name, "address=" + address, "zone=kl-1", "slots=2" });
        this->targets[name] = std::make_unique<ChildProcess>(
            "standins-target",
            std::vector<std::string>{ "--name", name, "--service", service, "--listen", address, "--slots", "2", "--service-ms", "20", "--drain-ms", "100" });
    }

    const std::string filePrefix;
    std::map<std::string, std::unique_ptr<ChildProcess>> targets;
    std::unique_ptr<ChildProcess> fabric;
};

/** Returns the sum of a numeric field over all JSON lines that contain it. */
inline uint64_t sumField(const std::string &text, const std::string &field)
{
    const std::string key = "\"" + field + "\":";
    uint64_t sum = 0;
    for (size_t at = text.find(key); at != std::string::npos; at = text.find(key, at + 1)) {
        sum += std::stoull(text.substr(at + key.size()));
    }
    return sum;
}

} // namespace hornbeam
