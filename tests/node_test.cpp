// Nodes of one zone over a simulated network, driven by several threads. Sections: cluster | tests

#include "core/upstreamtoken.h"
#include "node/node.h"

#include <barrier>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <thread>
#include <utility>

using namespace hornbeam;

//--- Cluster

namespace {

const ServiceId bookingService = serviceIdOf("booking");
const ZoneId zone = zoneIdOf("kl-1");
constexpr size_t nodeCount = 3;
constexpr size_t leavingNode = 2;

std::string tableText(unsigned weight)
{
    std::string rows;
    for (int i = 1; i <= 3; ++i) {
        rows += std::string(i > 1 ? "," : "") + R"({"target":"t)" + std::to_string(i) + R"(","address":"127.0.9.)" + std::to_string(i)
            + R"(:7001","zone":"kl-1","slots":64,"weight":)" + std::to_string(weight) + "}";
    }
    return R"({"service":"booking","port":5683,"targets":[)" + rows + "]}";
}

/** A packet from a target or a message from a peer, in transit. */
struct Delivery
{
    size_t to = 0;
    Endpoint target;
    Bytes packet; // empty for a peer message
    PeerMessage message;
};

struct Observer
{
    size_t node = 0;
    Endpoint target;
    Bytes token;
    auto operator<=>(const Observer &) const = default;
};

/** Thread safe, except for the clock, which must not be advanced while other threads use the cluster. */
class TestCluster
{
public:
    ManualClock clock;
    std::array<Counters, nodeCount> counters;
    std::vector<std::unique_ptr<Node>> nodes;
    std::atomic<bool> hasLeaverLeft{ false };

    std::mutex mutex; // guards the members below
    std::deque<Delivery> network;
    std::deque<std::pair<Endpoint, Bytes>> challengedPosts; // POSTs to repeat with the Echo value of their challenge
    std::map<uint16_t, std::vector<uint8_t>> responseCodes; // response codes by message ID, without challenges
    std::map<std::string, int> runsByPayload;               // executions of POSTs, by payload
    std::map<Bytes, std::string> feedStates;                // latest feed states, by token
    std::set<Observer> observers;
    uint32_t sequence = 1;
    std::string state = "first";

    TestCluster()
    {
        for (size_t i = 0; i < nodeCount; ++i) {
            const MemberRecord self{ i + 1, zone, Endpoint{ 0x7F000001, static_cast<uint16_t>(9000 + i) }, clock.wallMillis(), 0, MemberState::Alive };
            nodes.push_back(std::make_unique<Node>(NodeSettings{}, self, std::vector<Bytes>{ Bytes(32, 3) }, clock, counters[i], i));
            for (size_t other = 0; other < nodeCount; ++other) {
                nodes[i]->addSeed(other + 1, zone, Endpoint{ 0x7F000001, static_cast<uint16_t>(9000 + other) });
            }
        }
    }
    void sendFromCaller(size_t node, const Endpoint &caller, const Bytes &packet)
    {
        Actions out;
        nodes[node]->onCallerPacket(bookingService, caller, packet.data(), packet.size(), out);
        transmit(node, out);
    }
    void transmit(size_t node, const Actions &out)
    {
        for (const OutgoingPacket &packet : out.toTargets) {
            handleTargetPacket(node, packet);
        }
        for (const OutgoingPacket &packet : out.toCallers) {
            handleCallerPacket(packet);
        }
        for (const auto *queue : { &out.toPeers, &out.toStreams }) {
            for (const OutgoingMessage &message : *queue) {
                const auto peer = nodes[node]->endpointOf(message.peer);
                if (peer.has_value() && peer->port < 9000U + nodeCount) { // the list of instances contains one that does not exist
                    const std::lock_guard lock(mutex);
                    network.push_back({ peer->port - 9000U, {}, {}, message.message });
                }
            }
        }
    }
    void handleTargetPacket(size_t node, const OutgoingPacket &sent)
    {
        uint64_t number = 0;
        const auto message = parseCoap(sent.packet);
        if (!message->isRequest()) {
            return;
        }
        const std::lock_guard lock(mutex);
        std::vector<CoapOption> options;
        std::string payload = readToken(message->token, TokenKind::Probe, number) ? R"({"load":0,"busy":0})" : state;
        const Observer observer{ node, sent.endpoint, message->token };
        observers.erase(observer);
        if (message->observe == 0U) {
            observers.insert(observer);
            options.push_back({ optionObserve, optionValue(sequence) });
        }
        if (message->code == static_cast<uint8_t>(CoapCode::Post)) {
            const std::string text(sent.packet.begin(), sent.packet.end());
            ++runsByPayload[text.substr(text.rfind('\xFF') + 1)];
        }
        network.push_back(
            { node, sent.endpoint, buildCoap(CoapType::Acknowledgement, CoapCode::Content, message->messageId, message->token, options, payload), {} });
    }
    void handleCallerPacket(const OutgoingPacket &sent)
    {
        const auto message = parseCoap(sent.packet);
        const std::lock_guard lock(mutex);
        if (!message->echo.empty()) {
            const std::string body = std::to_string(message->messageId);
            challengedPosts.emplace_back(
                sent.endpoint, buildCoap(CoapType::Confirmable, CoapCode::Post, message->messageId, message->token, { { optionEcho, message->echo } }, body));
            return;
        }
        if (message->observe.has_value()) {
            const std::string text(sent.packet.begin(), sent.packet.end());
            feedStates[message->token] = text.substr(text.rfind('\xFF') + 1);
        }
        if (message->type == CoapType::Acknowledgement) {
            responseCodes[message->messageId].push_back(message->code);
        }
    }
    /** The targets send a new state to all observers. */
    void publish(const std::string &text)
    {
        const std::lock_guard lock(mutex);
        state = text;
        ++sequence;
        for (const Observer &observer : observers) {
            const auto id = static_cast<uint16_t>(sequence);
            network.push_back({ observer.node,
                                observer.target,
                                buildCoap(CoapType::NonConfirmable, CoapCode::Content, id, observer.token, { { optionObserve, optionValue(sequence) } }, text),
                                {} });
        }
    }
    /** Delivers the packets in transit and those sent in reaction to them, at most 2000. */
    void deliver()
    {
        for (int i = 0; i < 2000; ++i) {
            Delivery next;
            {
                const std::lock_guard lock(mutex);
                if (network.empty()) {
                    return;
                }
                next = std::move(network.front());
                network.pop_front();
            }
            Actions out;
            if (next.to == leavingNode && hasLeaverLeft) {
                continue;
            }
            if (next.packet.empty()) {
                nodes[next.to]->onPeerMessage(next.message, out);
            } else {
                nodes[next.to]->onTargetPacket(next.target, next.packet.data(), next.packet.size(), out);
            }
            transmit(next.to, out);
        }
    }
    void tick()
    {
        for (size_t node = 0; node < nodeCount; ++node) {
            if (node == leavingNode && hasLeaverLeft) {
                continue;
            }
            Actions out;
            nodes[node]->tick(out);
            if (nodes[node]->state() == NodeState::Drained) {
                nodes[node]->endDrain(out);
                hasLeaverLeft = true;
            }
            transmit(node, out);
        }
    }
    void run(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            clock.advance(milliseconds(20));
            tick();
            deliver();
        }
    }
};

/** Runs a callback at the next read of the clock, to simulate another thread acting at that moment. */
class ClockWithHook final : public Clock
{
public:
    ManualClock clock;
    mutable std::function<void()> onNextRead;

    TimePoint now() const override
    {
        if (onNextRead) {
            std::exchange(onNextRead, {})();
        }
        return clock.now();
    }
    uint64_t wallMillis() const override
    {
        return clock.wallMillis();
    }
};

constexpr int loadRounds = 200;
constexpr int drainRound = 60;
constexpr int tableRounds = 10; // between two edits

/** Simulates the callers of one thread: reads, orders, and feeds opened in the first 20 rounds. */
void runCallers(TestCluster &cluster, uint16_t thread, int round)
{
    const bool usesLeavingNode = round < drainRound + 10; // the network fabric learns of the drain late
    const size_t node = static_cast<size_t>(round + thread) % (usesLeavingNode ? nodeCount : leavingNode);
    const auto id = static_cast<uint16_t>(thread * 10000 + round * 4);
    const Endpoint caller{ 0x0A000001U + thread, static_cast<uint16_t>(1000 + round) };
    const Bytes token{ static_cast<uint8_t>(thread), static_cast<uint8_t>(round), 1 };
    const CoapOption path{ optionUriPath, optionValue("slots") };
    cluster.sendFromCaller(node, caller, buildCoap(CoapType::Confirmable, CoapCode::Get, id, token, { path }, ""));
    cluster.sendFromCaller(node, caller, buildCoap(CoapType::Confirmable, CoapCode::Post, id + 1, Bytes{ 2 }, {}, std::to_string(id + 1)));
    if (round < 20) {
        const Bytes feed{ static_cast<uint8_t>(thread), static_cast<uint8_t>(round), 3 };
        cluster.sendFromCaller(node, caller, buildCoap(CoapType::Confirmable, CoapCode::Get, id + 2, feed, { { optionObserve, {} }, path }, ""));
    }
    std::deque<std::pair<Endpoint, Bytes>> orders;
    {
        const std::lock_guard lock(cluster.mutex);
        std::swap(orders, cluster.challengedPosts);
    }
    for (const auto &[from, packet] : orders) {
        cluster.sendFromCaller(node, from, packet);
    }
}

/** Simulates table edits, updates of the list of instances, and operators reading the status pages. */
void runOperator(TestCluster &cluster, int round)
{
    const size_t node = static_cast<size_t>(round) % leavingNode;
    if (round % tableRounds == 0) {
        Actions out;
        cluster.nodes[node]->onTable("booking", static_cast<TableVersion>(2 + round / tableRounds), tableText(50U + static_cast<unsigned>(round)), out);
        cluster.transmit(node, out);
    }
    cluster.nodes[node]->addSeed(4, zone, Endpoint{ 0x7F000001, 9003 });
    CHECK(cluster.nodes[leavingNode]->dump().find("requests in_progress") != std::string::npos);
    CHECK(cluster.nodes[node]->tableAgreement().members >= 1);
    if (round == drainRound) {
        Actions out;
        cluster.nodes[leavingNode]->beginDrain(out);
        cluster.transmit(leavingNode, out);
    }
}

} // namespace

//--- Tests

TEST_CASE("several threads drive the nodes of a zone concurrently")
{
    TestCluster cluster;
    Actions out;
    cluster.nodes[0]->onTable("booking", 1, tableText(100), out);
    cluster.transmit(0, out);
    cluster.run(150);
    REQUIRE(cluster.nodes[leavingNode]->tables().find(bookingService) != nullptr);

    std::barrier rounds(6, [&cluster]() noexcept { cluster.clock.advance(milliseconds(20)); });
    const auto runRounds = [&rounds](const std::function<void(int)> &work) {
        for (int round = 0; round < loadRounds; ++round) {
            work(round);
            rounds.arrive_and_wait();
        }
    };
    std::vector<std::thread> threads;
    for (const uint16_t thread : { 1, 2 }) {
        threads.emplace_back([&, thread] { runRounds([&](int round) { runCallers(cluster, thread, round); }); });
        threads.emplace_back([&] { runRounds([&](int) { cluster.deliver(); }); });
    }
    threads.emplace_back([&] {
        runRounds([&](int round) {
            cluster.tick();
            cluster.publish(std::to_string(round));
        });
    });
    runRounds([&](int round) { runOperator(cluster, round); });
    for (std::thread &thread : threads) {
        thread.join();
    }
    cluster.deliver();
    for (int thread = 1; thread <= 2; ++thread) { // orders whose Echo value arrived in the last round
        runCallers(cluster, static_cast<uint16_t>(thread), loadRounds);
    }
    cluster.run(100);
    cluster.publish("last");
    cluster.run(100);

    SECTION("each read gets exactly one response, with the content")
    {
        for (int thread = 1; thread <= 2; ++thread) {
            for (int round = 0; round < loadRounds; ++round) {
                CAPTURE(thread, round);
                CHECK(cluster.responseCodes[static_cast<uint16_t>(thread * 10000 + round * 4)]
                      == std::vector<uint8_t>{ static_cast<uint8_t>(CoapCode::Content) });
            }
        }
    }
    SECTION("each order runs once and gets a response")
    {
        for (int thread = 1; thread <= 2; ++thread) {
            for (int round = 0; round < loadRounds; ++round) {
                const auto id = static_cast<uint16_t>(thread * 10000 + round * 4 + 1);
                CAPTURE(thread, round);
                CHECK(cluster.runsByPayload[std::to_string(id)] == 1);
                CHECK(cluster.responseCodes[id] == std::vector<uint8_t>{ static_cast<uint8_t>(CoapCode::Content) });
            }
        }
    }
    SECTION("each feed has the last state and is open at one node")
    {
        CHECK(cluster.feedStates.size() == 40);
        for (const auto &[token, state] : cluster.feedStates) {
            CHECK(state == "last");
        }
        CHECK(cluster.nodes[0]->feeds().openCount() + cluster.nodes[1]->feeds().openCount() == 40);
        CHECK(cluster.observers.size() == 40);
    }
    SECTION("the last edit is in force, and the leaving node is drained")
    {
        for (size_t node = 0; node < leavingNode; ++node) {
            CHECK(cluster.nodes[node]->tables().find(bookingService)->version == 1 + loadRounds / tableRounds);
        }
        CHECK(cluster.hasLeaverLeft);
        CHECK(cluster.nodes[leavingNode]->requests().inProgress() == 0);
        CHECK(cluster.nodes[leavingNode]->feeds().openCount() == 0);
    }
}

TEST_CASE("a tick that runs during beginDrain does not end the drain early")
{
    ClockWithHook clock;
    Counters counters;
    const MemberRecord self{ 1, zone, Endpoint{ 0x7F000001, 9000 }, 1, 0, MemberState::Alive };
    Node node(NodeSettings{}, self, { Bytes(32, 3) }, clock, counters, 1);
    Actions out;
    node.onTable("booking", 1, tableText(100), out);
    const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Get, 1, { 1 }, {}, "");
    node.onCallerPacket(bookingService, Endpoint{ 0x0A000001, 1000 }, packet.data(), packet.size(), out);
    REQUIRE(node.requests().inProgress() == 1);

    clock.onNextRead = [&] { node.tick(out); };
    node.beginDrain(out);
    CHECK(node.state() == NodeState::Draining);
    node.tick(out);
    CHECK(node.state() == NodeState::Draining);
    CHECK(node.requests().inProgress() == 1);
}
