#pragma once

// Whole nodes in one process without sockets: every message between them is encoded, sealed, opened and decoded, targets answer at once,
// and the processor time of the nodes alone is counted.

#include "node/node.h"
#include "peer/packetsigner.h"

#include <array>
#include <deque>
#include <memory>

namespace hornbeam {

/** Processor time of the calling thread, in microseconds. */
double threadMicros();
/** Memory of this process that is in use, in bytes. */
size_t residentBytes();

constexpr size_t messageKinds = std::variant_size_v<PeerMessage>;

/** What the nodes have sent to each other. */
struct Traffic
{
    std::array<uint64_t, messageKinds> messages{};
    std::array<uint64_t, messageKinds> bytes{};

    uint64_t controlBytes() const; // all but relayed packets
    uint64_t relays() const;
};

/** A table of `targets` rows, `port` of the service and addresses from `firstAddress` on; rows go to `zones` zones in turn. */
std::string tableText(const std::string &service, uint16_t port, uint32_t firstAddress, size_t targets, size_t zones, uint32_t slots);
/** The name of a zone by its number. */
std::string zoneName(size_t zone);

/** Not thread safe. */
class NodeNet
{
public:
    /** Nodes of one zone that know each other. */
    NodeNet(size_t members, uint64_t seed);

    /** Time passes with a tick of every node that runs, each 20 ms. */
    void pass(Duration time);
    /** Hands a caller's packet to a node and carries out all that follows. */
    void deliver(size_t entry, ServiceId service, const Endpoint &caller, const Bytes &packet);
    /** Hands a target's packet to a node. */
    void deliverFromTarget(size_t node, const Endpoint &target, const Bytes &packet);
    void applyTable(const std::string &service, const std::string &text);
    /** A node that stops is neither ticked nor reached. */
    void stop(size_t index)
    {
        this->nodes[index].isRunning = false;
    }
    Node &node(size_t index)
    {
        return *this->nodes[index].node;
    }
    size_t openFeeds() const;
    size_t feedCopies() const;

    /** The GET with Observe that a node sent last, as its target sees it. */
    struct Subscription
    {
        size_t node = 0;
        Endpoint target;
        Bytes token;
    };

    Traffic traffic;
    double micros = 0;     // processor time of nodes, codec and seal
    double tickMicros = 0; // the part of it that ticks took
    uint64_t answers = 0;  // packets to callers
    OutgoingPacket lastAnswer;
    std::vector<Subscription> subscriptions;

private:
    struct Member
    {
        MemberId id = 0;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<Node> node;
        bool isRunning = true;
    };
    struct Datagram
    {
        size_t from = 0;
        size_t to = 0;
        Bytes bytes;
    };
    void perform(size_t from, const Actions &actions);
    void acknowledge(size_t from, const OutgoingPacket &packet);
    void sendMessages(size_t from, const std::vector<OutgoingMessage> &messages);
    void deliverAll();
    void answerFor(size_t node, const OutgoingPacket &packet);

    ManualClock clock;
    PacketSigner sealer;
    std::vector<Member> nodes;
    std::deque<Datagram> datagrams;
};

} // namespace hornbeam
