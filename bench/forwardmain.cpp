// bench-forward: what a forwarded packet costs, beside the plainest forwarder (receive, look up, send), on loopback in one thread.

#include "flows/flowforwarder.h"
#include "platform/packetheader.h"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

using namespace hornbeam;

namespace {

constexpr size_t batchPackets = 64; // fits the sockets' buffers
constexpr size_t contentBytes = 200;
constexpr uint32_t callers = 10000; // flows of one instance at the two-year size

class NoObserver final : public FlowObserver
{
public:
    void onPlaced(const FlowState & /*state*/, const Route & /*route*/, const PlacementInputs & /*inputs*/) override
    {
    }
    void onOpeningRepeated(const FlowState & /*state*/, const Route & /*route*/, uint64_t /*version*/) override
    {
    }
    void onNotAdmitted(const FlowReset & /*reset*/, const Route & /*route*/, const Target & /*target*/, const AdmissionVerdict & /*verdict*/) override
    {
    }
    void onRestricted(const FlowReset & /*reset*/, ResetReason /*reason*/, const Route & /*route*/, const Placement & /*placement*/) override
    {
    }
    void onReset(const FlowReset & /*reset*/, ResetReason /*reason*/, const FlowState * /*state*/) override
    {
    }
    void onDropped(const FlowPacket & /*packet*/, DropReason /*reason*/) override
    {
    }
    void onTargetChange(const TargetChange & /*change*/) override
    {
    }
    void onTargetHealth(const Target & /*target*/, CheckOutcome /*outcome*/) override
    {
    }
};

/** A bound UDP socket on loopback. */
struct Socket
{
    Socket() : descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        this->address.sin_family = AF_INET;
        this->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(this->address);
        if (::bind(this->descriptor, reinterpret_cast<sockaddr *>(&this->address), size) != 0
            || ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&this->address), &size) != 0) {
            std::cerr << "cannot bind a UDP socket on loopback\n";
        }
    }
    ~Socket()
    {
        ::close(this->descriptor);
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    void send(const Socket &to, const uint8_t *data, size_t size) const
    {
        ::sendto(this->descriptor, data, size, 0, reinterpret_cast<const sockaddr *>(&to.address), sizeof(to.address));
    }
    size_t receive(std::array<uint8_t, maxPacketBytes> &data) const
    {
        const ssize_t size = ::recv(this->descriptor, data.data(), data.size(), 0);
        return size < 0 ? 0 : static_cast<size_t>(size);
    }

    int descriptor;
    sockaddr_in address{};
};

Bytes makePacket(uint32_t caller, RoutingToken token, uint32_t sequence, bool isOpening)
{
    Bytes packet(packetHeaderBytes + (isOpening ? 0 : contentBytes), 0);
    const auto put = [&](size_t at, size_t bytes, uint64_t number) {
        for (size_t i = 0; i < bytes; ++i) {
            packet[at + i] = static_cast<uint8_t>(number >> (8 * (bytes - 1 - i)));
        }
    };
    put(0, 2, packet.size() - packetHeaderBytes);
    put(2, 1, isOpening ? 4 : 1);
    put(8, 4, token);
    put(12, 4, sequence);
    put(16, 4, isOpening ? 0 : sequence);
    put(20, 2, 1024 + caller % 60000);
    put(22, 2, 443);
    put(24, 4, 0xC6120001);
    put(28, 4, 0x64400000 + caller);
    return packet;
}

/** Time for each packet of receiving, `handle` and sending. */
double measure(uint64_t packets, const std::vector<RoutingToken> &tokens, const std::function<void(const uint8_t *, size_t, Bytes &)> &handle)
{
    Socket source;
    Socket forwarder;
    Socket sink;
    std::array<uint8_t, maxPacketBytes> buffer{};
    Bytes out;
    std::chrono::nanoseconds spent{ 0 };
    uint64_t handled = 0;
    for (uint64_t sent = 0; sent < packets; sent += batchPackets) {
        for (uint64_t i = 0; i < batchPackets; ++i) {
            const auto caller = static_cast<uint32_t>((sent + i) % callers);
            const Bytes packet = makePacket(caller, tokens[caller], static_cast<uint32_t>(1000 + (sent + i) / callers * contentBytes), false);
            source.send(forwarder, packet.data(), packet.size());
        }
        const auto begun = std::chrono::steady_clock::now();
        while (const size_t size = forwarder.receive(buffer)) {
            handle(buffer.data(), size, out);
            forwarder.send(sink, out.data(), out.size());
            ++handled;
        }
        spent += std::chrono::steady_clock::now() - begun;
        while (sink.receive(buffer) > 0) { }
    }
    return static_cast<double>(spent.count()) / static_cast<double>(handled);
}

size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

int main(int argc, char **argv)
{
    uint64_t packets = 300000;
    uint32_t targets = 650;
    CLI::App app("bench-forward: cost of a forwarded packet");
    app.add_option("--packets", packets, "packets of each run")->check(CLI::Range(1000, 100'000'000));
    app.add_option("--targets", targets, "targets of the service")->check(CLI::Range(1, 100'000));
    CLI11_PARSE(app, argc, argv);

    const size_t before = residentBytes();
    SystemClock clock;
    NoObserver observer;
    FlowForwarder forwarder(FlowSettings{}, zoneIdOf("here"), 1, clock, observer);
    FlowActions actions;
    RouteConfiguration configuration;
    configuration.version = 1;
    configuration.routes.push_back({ "r", { 0xC6120001, 443 }, RequestKind::Idempotent, milliseconds(100), seconds(1), { { "booking", 1 } } });
    forwarder.onConfiguration(configuration, actions);
    std::vector<TargetRecord> records;
    for (uint32_t i = 0; i < targets; ++i) {
        TargetRecord record;
        record.name = "i-" + std::to_string(i);
        record.service = "booking";
        record.zone = zoneIdOf("here");
        record.deliveryId = i;
        record.address = { 0x0A000000 + i, 8080 };
        records.push_back(record);
    }
    forwarder.onTargets(records, clock.now(), actions);
    std::vector<RoutingToken> tokens;
    std::unordered_map<RoutingToken, uint64_t> plainTable;
    const auto openingBegun = std::chrono::steady_clock::now();
    for (uint32_t caller = 0; caller < callers; ++caller) {
        const Bytes packet = makePacket(caller, 0, 999, true);
        const PacketDecision decision = forwarder.onPacket(*parsePacket(packet.data(), packet.size()), actions);
        tokens.push_back(decision.token);
        plainTable[decision.token] = decision.target->record.deliveryId;
    }
    const std::chrono::duration<double, std::micro> openingTime = std::chrono::steady_clock::now() - openingBegun;

    const auto plain = [&](const uint8_t *data, size_t size, Bytes &out) {
        const std::optional<FlowPacket> packet = parsePacket(data, size);
        writeDelivery(data, size, plainTable.find(packet->token)->second, packet->token, out);
    };
    const auto full = [&](const uint8_t *data, size_t size, Bytes &out) {
        const std::optional<FlowPacket> packet = parsePacket(data, size);
        const PacketDecision decision = forwarder.onPacket(*packet, actions);
        writeDelivery(data, size, decision.target->record.deliveryId, decision.token, out);
    };
    measure(packets / 10, tokens, plain); // warms the sockets up
    const double plainNs = measure(packets, tokens, plain);
    const double fullNs = measure(packets, tokens, full);
    std::cout << "plain_ns=" << plainNs << " forwarder_ns=" << fullNs << " ratio=" << fullNs / plainNs << " opening_us=" << openingTime.count() / callers
              << " resident_bytes_per_flow=" << (residentBytes() - before) / callers << "\n";
    return 0;
}
