#pragma once

// Many instances, targets, callers and the platform on one paused clock, single threaded, with one seeded random generator. No model of
// networks or machines beyond delay, loss, duplication, reordering and cuts: small fakes at the interfaces of the real decision code.
//
// Sections: building | time | instances | targets | links | operators | state

#include "apps/editsession.h"
#include "worldcaller.h"
#include "worldparts.h"

#include <random>
#include <set>

namespace hornbeam::bench {

/** Not thread safe. */
class World final : private CallerPort
{
public:
    explicit World(const WorldSettings &settings);
    ~World() override;
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    //--- Building

    /** Writes an empty table. Precondition: a port that no other service has. */
    void addService(const std::string &service, uint16_t port, Preference preference = Preference::Balance, uint32_t queueLimit = 64);
    /** Starts a target and adds its row to the service's table. `options.listen` is filled in here. */
    void addTarget(const std::string &service, const std::string &zone, TargetOptions options, uint32_t weight = 100);
    /** Starts an instance. */
    void addInstance(const std::string &name, const std::string &zone);
    /** Starts callers of a service; their names are <service>-<kind><number>. */
    void addCallers(const std::string &service, CallerKind kind, size_t count, Duration think);
    /** Ends all callers of a service and a kind. */
    void endCallers(const std::string &service, CallerKind kind);

    //--- Time

    void run(Duration span);
    /** Runs until `condition` holds, looked at each 20 ms; false when it doesn't within `most`. */
    bool runUntil(Duration most, const std::function<bool()> &condition);

    //--- Instances. Precondition of each: there is one of that name.

    void killInstance(const std::string &name);
    void freezeInstance(const std::string &name);
    void wakeInstance(const std::string &name);
    /** Begins its planned stop. */
    void stopInstance(const std::string &name);
    /** Starts a process anew under the same name, after it was killed or has stopped. */
    void startInstance(const std::string &name);
    /** The newest process of that name, or null. */
    Instance *instance(const std::string &name) const;
    std::vector<Instance *> runningInstances() const;

    //--- Targets. Precondition of each: there is one of that name.

    void killTarget(const std::string &name);
    /** A new process at the same address, with the options that the last one had. */
    void startTarget(const std::string &name);
    /** It reports draining, and ends once its drain time is over and it is idle. */
    void drainTarget(const std::string &name);
    /** Ends a target and starts one of another service and name at its address, as a redeployment does. */
    void replaceTarget(const std::string &name, const std::string &service, const std::string &newName);
    /** The newest process of that name, or null. */
    Target *target(const std::string &name) const;
    /** All processes of targets, ended ones included. */
    const std::vector<std::unique_ptr<Target>> &targets() const;

    //--- Links. Places are zones, "callers" and "platform".

    void cut(const std::string &a, const std::string &b);
    void mend(const std::string &a, const std::string &b);
    WorldSettings &rates();

    //--- Operators

    /** Runs the real edit session. Changes that are done are kept, to be looked for later. */
    EditResult edit(const std::string &who, const std::string &service, const std::vector<TableChange> &changes);
    /** The version of the newest edit of a service that was accepted; 0 when there is none. */
    TableVersion acceptedVersion(const std::string &service) const;
    /** What of the accepted edits is not in force at a running instance; empty when all is. */
    std::string findLaggard(const std::string &service) const;
    WorldPlatform &platform();

    //--- State

    const Ledger &ledger() const;
    Trace &trace();
    const Clock &time() const;

private:
    struct AcceptedCell
    {
        std::string target;
        std::string column;
        std::string value;
    };

    void sendFromCaller(const std::string &service, const Endpoint &caller, const Bytes &packet) override;
    Instance &startProcess(const std::string &name, const std::string &zone, const Endpoint &peer, Incarnation incarnation);
    void scheduleTick(Instance &instance, Duration delay);
    void tick(Instance &instance);
    void tickPlatform(Instance &instance);
    void readInstances(Instance &instance);
    void checkVersions(Instance &instance);
    void updateFabric(Instance &instance, bool inFabric);
    void startTargetProcess(const TargetOptions &options, const std::string &zone);
    void checkDrained(Target &target);
    void runIn(Instance &instance, std::function<void()> work);
    void perform(Instance &from, const Actions &actions);
    void traceMessage(const Instance &from, const Instance &to, const PeerMessage &message);
    void sendPeer(Instance &from, const OutgoingMessage &message, bool isStream);
    bool isDropped(const PeerMessage &message) const;
    void sendToTarget(Instance &from, const OutgoingPacket &packet);
    void onTargetSend(Target &from, const Endpoint &to, const Bytes &packet);
    void sendToCaller(Instance &from, const OutgoingPacket &packet);
    Bytes shorten(Instance &instance, const Bytes &packet) const;
    Bytes lengthen(Instance &instance, const Bytes &packet) const;
    void pass(const std::string &from, const std::string &to, Duration delay, bool isDatagram, const std::function<void()> &arrive);
    bool isCut(const std::string &a, const std::string &b) const;
    Duration delayBetween(const std::string &a, const std::string &b) const;
    bool chance(double share);
    Instance *instanceAt(const Endpoint &peer) const;
    Target *targetAt(const Endpoint &endpoint) const;
    std::string flowOf(const Endpoint &caller) const;

    WorldSettings settings;
    ManualClock clock;
    EventQueue queue;
    std::mt19937_64 random;
    WorldPlatform store;
    Ledger book;
    Trace events;
    std::vector<std::unique_ptr<Instance>> instances; // in the order in which they started
    std::vector<std::unique_ptr<Target>> targetProcesses;
    std::vector<std::unique_ptr<WorldCaller>> callers;
    std::map<Endpoint, WorldCaller *> callersByEndpoint;
    std::map<Endpoint, Target *> targetsByEndpoint;   // the newest process
    std::map<Endpoint, Instance *> instancesByPeer;   // the newest process
    std::map<Endpoint, Instance *> instancesByTarget; // by their socket towards targets
    std::vector<std::string> serviceNames;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, std::vector<AcceptedCell>> acceptedCells;
    std::map<std::string, TableVersion> acceptedVersions;
    uint32_t nextAddress = 1;
    uint16_t nextPort = 20000;
    uint64_t nextEdit = 1;
    bool isStarted = false; // time has passed
};

} // namespace hornbeam::bench
