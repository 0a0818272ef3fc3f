#pragma once

// The processes of a world: instances of the balancer around the real Node, and targets around the stand-in's model. Each start of one
// makes a new object; one that has ended stays, so that events on their way to it find it ended.
//
// Sections: settings | instances | targets

#include "node/node.h"
#include "standins/targetmodel.h"
#include "store/objectwatcher.h"
#include "worldledger.h"
#include "worldplatform.h"

#include <memory>

namespace hornbeam::bench {

//--- Settings

/** What is taken away from the wiring between the parts, to show what a mechanism is good for. All off: the product as it is. */
struct Wiring
{
    bool dropFeedCopies = false;     // FeedCopy messages
    bool dropFeedMoves = false;      // FeedMove messages
    bool dropTargetNotices = false;  // TargetNotice messages between instances
    bool dropTableSpread = false;    // table messages between instances
    bool shortTokens = false;        // upstream tokens and message IDs of 3 values in place of unique ones
    bool refuseAsNotRun = false;     // every 5.04 leaves as a 5.03
    bool confuseServices = false;    // now and then a packet is taken for one of another service
    bool keepIncarnation = false;    // a restarted instance goes on under the incarnation of the one before
    bool ignoreConditions = false;   // the platform's writes are unconditional
    bool ignoreTargetDrains = false; // targets don't say in their health that they drain
    bool relayAnywhere = false;      // a relayed packet reaches any instance, not the one it was meant for
};

struct WorldSettings
{
    uint64_t seed = 1;
    NodeSettings node;
    Wiring wiring;
    PlatformTimes platform;
    Duration tickInterval = milliseconds(20);
    Duration innerDelay = std::chrono::microseconds(200); // one way within a zone
    Duration zoneDelay = std::chrono::microseconds(500);  // one way between two zones
    Duration callerDelay = milliseconds(3);               // one way between callers and an instance
    Duration fabricLag = seconds(1);                      // until the fabric knows that an instance came or went
    Duration duplicateDelay = seconds(1);                 // a duplicate comes up to so much later
    Duration reorderDelay = milliseconds(50);             // a reordered packet comes up to so much later
    double loss = 0;                                      // share of the datagrams, 0 to 1
    double duplicates = 0;                                // the same
    double reorders = 0;                                  // the same
};

//--- Instances

enum class ProcessState : uint8_t {
    Running,
    Frozen, // stands still; packets wait in its sockets
    Ended,
};

struct Instance
{
    std::string name;
    std::string zone;
    MemberId id = 0;
    Endpoint peer;
    Endpoint targetSide; // its socket towards targets
    ProcessState state = ProcessState::Running;
    bool inFabric = false; // packets from callers are handed to it
    Counters counters;
    std::unique_ptr<Node> node;
    std::unique_ptr<WorldPlatformClient> platform;
    std::unique_ptr<ObjectWatcher> watcher;
    std::vector<std::function<void()>> waiting;               // while it is frozen
    std::map<ServiceId, TableVersion> inForce;                // as last seen
    std::map<uint64_t, std::pair<Bytes, uint16_t>> shortened; // Wiring::shortTokens: the last token and message ID of each short one
    uint64_t seenTableChanges = 0;
    uint64_t peerBytes = 0; // datagrams and stream messages sent to other instances, relays included
};

//--- Targets

/** One process of a target. */
struct Target final : public TargetPort
{
    std::string zone;
    TargetOptions options;
    bool isRunning = true;
    std::unique_ptr<TargetModel> model;
    EventQueue *queue = nullptr;
    std::function<void(const Endpoint &, const Bytes &)> onSend;
    std::function<void(const std::string &)> onRun;

    void send(const Endpoint &to, const Bytes &packet) override
    {
        if (this->isRunning) {
            this->onSend(to, packet);
        }
    }
    void runAfter(Duration delay, std::function<void()> work) override
    {
        this->queue->add(delay, [this, work = std::move(work)] {
            if (this->isRunning) {
                work();
            }
        });
    }
    void onExecuted(const std::string &identity) override
    {
        this->onRun(identity);
    }
};

} // namespace hornbeam::bench
