#pragma once

// What an instance that forwards flows learns from the store, by itself or through members of its zone.

#include "apps/settings.h"
#include "sharing/sharedstorereader.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

class FlowStore
{
public:
    /** Writes one line of the log: an event and its fields. */
    using LogFunction = std::function<void(const std::string &event, const nlohmann::ordered_json &fields)>;

    /** Precondition: the settings have `flows`; there is one key at least; the context, the clock and the observer outlive this object. */
    FlowStore(boost::asio::io_context &context, const DaemonSettings &settings, const std::vector<Bytes> &keys, const Clock &clock, uint64_t seed,
              StoreObserver &observer, LogFunction logEvent);
    ~FlowStore();
    FlowStore(const FlowStore &) = delete;
    FlowStore &operator=(const FlowStore &) = delete;

    /** Empty when the address for members is bound, else what failed. */
    const std::string &error() const;
    /** Starts to answer members. Precondition: error() is empty; called once. */
    void beginReceive();
    /** Reads, asks and answers what is due. Call it about each 20 ms. */
    void tick();
    /** Reads a part of the store now, at most once a second. */
    void readNow(StoreResource resource);
    /** A target is missing: the next answers are wanted soon. */
    void setUrgent(bool isUrgent);
    /** Uses another address of the store from the next call on. */
    void setEndpoint(const Endpoint &endpoint);
    /** Puts other keys in force. Precondition: one at least. */
    void updateKeys(const std::vector<Bytes> &keys);
    /** Tells members that this instance leaves, and that it has left. */
    void beginLeave();
    void endLeave();

    /** Whether this instance should be out of the routers' rotation, because its zone has lost more than half. */
    bool isOutOfRotation() const;
    /** Counters and gauges in the text exposition format that monitoring systems read. */
    std::string metricsText() const;
    /** The members, and where this instance learns what the store says, as JSON. */
    std::string membersPage() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace hornbeam
