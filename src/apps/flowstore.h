#pragma once

// Gives an instance that forwards flows the data of the store, read directly or received from members of its zone. Also owns the membership and the decision
// to leave the rotation.

#include "apps/settings.h"
#include "balancing/budgetshares.h"
#include "balancing/loadreports.h"
#include "rotation/overloaddetector.h"
#include "sharing/sharedstorereader.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

class AnswerQueries;
class ZoneLoads;

class FlowStore
{
public:
    /** Logs an event with its fields. */
    using LogFunction = std::function<void(const std::string &event, const nlohmann::ordered_json &fields)>;

    /** Precondition: the settings have `flows`, there is at least one key, and the context, the clock and the observer outlive this object. */
    FlowStore(boost::asio::io_context &context, const DaemonSettings &settings, const std::vector<Bytes> &keys, const Clock &clock, uint64_t seed,
              StoreObserver &observer, LogFunction logEvent);
    ~FlowStore();
    FlowStore(const FlowStore &) = delete;
    FlowStore &operator=(const FlowStore &) = delete;

    /** Empty if the peer address is bound, otherwise the error message. */
    const std::string &error() const;
    /** Starts to receive messages from members. Precondition: error() is empty; called once. */
    void beginReceive();
    /** Starts calls and sends requests and responses that are due. Call it about every 20 ms, with what was measured since the last call. */
    void tick(const LoadSample &load);
    /** Reads a resource from the store immediately, but at most once a second. */
    void readNow(StoreResource resource);
    /** Selects short or normal timeouts for long polls of the targets. Urgent while a target is missing. */
    void setUrgent(bool isUrgent);
    /** Sets the address of the store for all following calls. */
    void setEndpoint(const Endpoint &endpoint);
    /** Replaces the keys. Precondition: at least one. */
    void updateKeys(const std::vector<Bytes> &keys);
    /** Notifies members that this instance is leaving. */
    void beginLeave();
    /** Notifies members that this instance has left. */
    void endLeave();

    /** Whether this instance should be out of the routers' rotation, because its zone has lost more than half of its members or because this instance
     *  is overloaded. */
    bool isOutOfRotation() const;
    /** Reports of the load of other zones. Valid until this object ends. */
    ZoneLoads &zoneLoads();
    /** Queries to other members about the answers of targets. Valid until this object ends. */
    AnswerQueries &answerQueries();
    /** Sets whether this instance needs shares of limits that hold for all instances. */
    void setSharesNeeded(bool isNeeded);
    /** This instance's shares of such limits. Valid as long as this object. */
    const BudgetShares &budgetShares() const;
    /** Number of live instances in all zones, including this one. */
    size_t liveInstances() const;
    /** Sets the load that is reported to members of the own zone. */
    void setOwnLoad(OwnLoad load);
    /** The load that members of the own zone have reported. */
    const ReportedLoad &reportedLoad() const;
    /** Number of live instances in the own zone, including this one. */
    size_t liveZoneInstances() const;
    /** Counters and gauges in the Prometheus text format. */
    std::string metricsText() const;
    /** The members, the current source of store data and the age of that data, as JSON. */
    std::string membersPage() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace hornbeam
