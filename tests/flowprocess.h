#pragma once

// hornbeamd processes that forward flows, with the store's stand-in. The test process acts as router, callers and targets.

#include "childprocess.h"
#include "platform/packetheader.h"
#include "store/httpget.h"

#include <arpa/inet.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sys/socket.h>
#include <thread>

namespace hornbeam {
inline namespace flow_process {

/** A UDP socket on loopback. */
class UdpTestSocket
{
public:
    explicit UdpTestSocket(uint16_t port = 0) : descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = toSockaddr({ 0x7F000001, port });
        REQUIRE(::bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        timeval timeout{ 2, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }
    ~UdpTestSocket()
    {
        ::close(this->descriptor);
    }
    UdpTestSocket(const UdpTestSocket &) = delete;
    UdpTestSocket &operator=(const UdpTestSocket &) = delete;

    uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        return ntohs(address.sin_port);
    }
    void send(const Endpoint &to, const Bytes &data) const
    {
        const sockaddr_in address = toSockaddr(to);
        ::sendto(this->descriptor, data.data(), data.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
    /** Returns the next datagram, or an empty one if none arrives within 2 s. */
    Bytes receive() const
    {
        Bytes data(2048);
        const ssize_t size = ::recv(this->descriptor, data.data(), data.size(), 0);
        data.resize(size < 0 ? 0 : static_cast<size_t>(size));
        return data;
    }

private:
    static sockaddr_in toSockaddr(const Endpoint &endpoint)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(endpoint.address);
        return address;
    }
    int descriptor;
};

template<typename Socket>
bool tryBind(Socket &socket, const boost::asio::ip::address_v4 &address, uint16_t port)
{
    boost::system::error_code error;
    const typename Socket::protocol_type::endpoint endpoint{ address, port };
    socket.open(endpoint.protocol());
    socket.bind(endpoint, error);
    return !error;
}

/**
 * A port that is free for TCP and UDP on 127.0.0.1. Below those that the kernel gives to connections, which could take it before a process binds it, and
 * reserved until this process ends against others that run these tests, by a socket at an address that nothing else uses.
 */
inline uint16_t freePort()
{
    using boost::asio::ip::address_v4;
    static boost::asio::io_context context;
    static std::vector<boost::asio::ip::udp::socket> reservations;
    static std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<int> ports(10'000, 32'000);
    for (;;) {
        const auto port = static_cast<uint16_t>(ports(random));
        boost::asio::ip::udp::socket reservation(context);
        boost::asio::ip::tcp::acceptor acceptor(context);
        boost::asio::ip::udp::socket packets(context);
        if (tryBind(reservation, address_v4({ 127, 255, 255, 254 }), port) && tryBind(acceptor, address_v4::loopback(), port)
            && tryBind(packets, address_v4::loopback(), port)) {
            reservations.push_back(std::move(reservation));
            return port;
        }
    }
}

using StoreResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Sends a request to the store's stand-in. */
inline StoreResponse requestStore(const Endpoint &store, boost::beast::http::verb verb, const std::string &target, const std::string &content = "")
{
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(store.address), store.port));
    http::request<http::string_body> request(verb, target, 11, content);
    request.prepare_payload();
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    StoreResponse response;
    http::read(stream, buffer, response);
    return response;
}

/** Sends a call for an object or a kind to the store's stand-in. Returns the status of the response. */
inline boost::beast::http::status callStore(const Endpoint &store, boost::beast::http::verb verb, const std::string &path, const std::string &content = "")
{
    return requestStore(store, verb, "/api/objects/" + path, content).result();
}

inline void createObject(const Endpoint &store, const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    const std::string content = nlohmann::json{ { "meta", { { "name", name } } }, { "spec", spec } }.dump();
    REQUIRE(callStore(store, boost::beast::http::verb::post, kind, content) == boost::beast::http::status::created);
}

/** Registers a loopback target of the service "booking". */
inline void createTarget(const Endpoint &store, uint16_t port, const std::string &name = "i-1f", const std::string &zone = "here")
{
    createObject(store, "servers", name,
                 { { "service", "booking" },
                   { "address", "127.0.0.1:" + std::to_string(port) },
                   { "zone", zone },
                   { "slots", 2 },
                   { "state", "ready" },
                   { "warmupLeftMs", 0 },
                   { "version", "v1" },
                   { "seqNo", 1 },
                   { "born", 5 } });
}

/** Writes the initial configuration with one route to the service "booking". */
inline void createConfiguration(const Endpoint &store)
{
    createObject(store, "config", "main",
                 { { "version", 1 },
                   { "routes",
                     { { { "name", "r" },
                         { "host", "198.18.0.1" },
                         { "pathPrefix", "/443/" },
                         { "kind", "safe" },
                         { "timeoutMs", 800 },
                         { "targetLatencyMs", 120 },
                         { "service", "booking" } } } },
                   { "services", nlohmann::json::array() },
                   { "limits", { { "idleTimeoutMs", 15000 } } } });
}

/** A hornbeamd process with its own settings file. */
struct FlowProcess
{
    FlowProcess(const std::string &name, const Endpoint &store, const std::string &host = "127.0.0.1", uint16_t peerPort = freePort(),
                const std::vector<std::string> &seeds = {}, const nlohmann::json &moreFlows = nlohmann::json::object(), const std::string &zone = "here")
        : file(std::filesystem::temp_directory_path() / (name + std::to_string(::getpid()) + ".json"))
    {
        nlohmann::json settings{
            { "name", name },
            { "zone", zone },
            { "address", host },
            { "peer_port", peerPort },
            { "metrics_port", this->metrics.port },
            { "platform", toString(store) },
            { "flows", { { "packet_address", toString(this->packets) }, { "readiness_address", toString(this->readiness) }, { "seed_hosts", seeds } } }
        };
        settings["flows"].update(moreFlows);
        REQUIRE(parseEndpoint(host + ":" + std::to_string(this->metrics.port), this->metrics));
        std::ofstream(this->file) << settings;
        this->child = std::make_unique<ChildProcess>("hornbeamd", std::vector<std::string>{ "--settings", this->file.string() });
    }
    ~FlowProcess()
    {
        std::filesystem::remove(this->file);
    }
    bool isReady() const
    {
        return httpGet(this->readiness, "/ready", seconds(1)).has_value();
    }
    bool waitReady() const
    {
        for (int i = 0; i < 100 && !this->isReady(); ++i) {
            std::this_thread::sleep_for(milliseconds(50));
        }
        return this->isReady();
    }
    /** Waits until the instance knows a target: one that listed the targets before it was registered is ready without it. */
    bool waitTarget(const std::string &name) const
    {
        for (int i = 0; i < 100; ++i) {
            const auto page = httpGet(this->metrics, "/targets", seconds(1));
            if (page.has_value() && page->find(name) != std::string::npos) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }
    std::filesystem::path file;
    Endpoint packets{ 0x7F000001, freePort() };
    Endpoint readiness{ 0x7F000001, freePort() };
    Endpoint metrics{ 0x7F000001, freePort() };
    std::unique_ptr<ChildProcess> child;
};

inline Bytes makePacket(const FlowKey &flow, bool isOpening, RoutingToken token, uint32_t sequence, const std::string &content)
{
    Bytes packet(packetHeaderBytes + content.size(), 0);
    const auto put = [&](size_t at, size_t bytes, uint64_t number) {
        for (size_t i = 0; i < bytes; ++i) {
            packet[at + i] = static_cast<uint8_t>(number >> (8 * (bytes - 1 - i)));
        }
    };
    put(0, 2, content.size());
    put(2, 1, isOpening ? 4 : 1);
    put(8, 4, token);
    put(12, 4, sequence);
    put(16, 4, isOpening ? 0 : 5000);
    put(20, 2, flow.caller.port);
    put(22, 2, flow.service.port);
    put(24, 4, flow.service.address);
    put(28, 4, flow.caller.address);
    std::copy(content.begin(), content.end(), packet.begin() + packetHeaderBytes);
    return packet;
}

} // namespace flow_process
} // namespace hornbeam
