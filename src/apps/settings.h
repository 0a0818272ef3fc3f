#pragma once

// The settings of hornbeamd: a JSON file, checked whole before anything starts.

#include "core/jsonfields.h"
#include "core/types.h"
#include "flows/flowsettings.h"
#include "node/node.h"
#include "rotation/overloaddetector.h"

#include <iosfwd>
#include <optional>

namespace hornbeam {

/** A member to join through when the platform is out. */
struct PeerSeed
{
    std::string name;
    std::string zone;
    Endpoint peer; // of its peer protocol

    bool operator==(const PeerSeed &) const = default;
};

/** What an instance needs that forwards the flows of routes; one that has no such settings serves the CoAP services of tables. */
struct FlowServiceSettings
{
    Endpoint packets;                              // UDP: callers' packets arrive here, and resets are sent to its port at the caller
    Endpoint readiness;                            // TCP, HTTP: whether routers may send packets here
    FlowSettings parts;                            // tunables of the forwarding
    Duration targetHeartbeat = milliseconds(1200); // between two writes of a target's entry
    Duration drainBound = seconds(3);              // from the store's acknowledgement that a target drains to the last new flow that it may get
    Duration changeBound = seconds(3);             // from the store's acknowledgement of a configuration to its being in force
    std::optional<Duration> evacuationBound;       // from the store's acknowledgement of a zone's evacuation to the last new flow; absent: not read
    Duration stability = seconds(4);               // after a failure, until what it left behind must be made good
    std::vector<uint32_t> seedHosts;               // IPv4 addresses of some instances, which may be down; all use the same peer_port
    bool isFirstStart = false;                     // of the whole system: nobody has written seeds to the store yet
    bool isReadingShared = true;                   // one instance of a zone reads the store for the others
    bool canLeaveRotation = true;                  // the survivors of a zone that lost most of its instances leave it to other zones
    bool canLeaveWhenOverloaded = true;            // an overloaded instance leaves the rotation; only if canLeaveRotation is set
    OverloadSettings overload;                     // when it leaves and returns
    Duration initialReadTimeout = seconds(1);      // for which packets are held back until the store has been read; callers give up after 0.8 s or more
    Duration shutdownDelay = milliseconds(1800);   // of forwarding after SIGTERM; routers need up to 2 probes of 500 ms each to stop sending packets
    std::string peerGroup = "hornbeamrouter";      // instances of one deployment share it; signs their messages where there are no key files
};

struct DaemonSettings
{
    std::string name;                  // of this instance, unique in the system
    std::string zone;                  // its availability zone
    uint32_t address = 0x7F000001;     // IPv4, of the services' ports and of the peer protocol
    uint16_t peerPort = 7946;          // UDP and TCP, 1 to 65535
    uint16_t metricsPort = 9464;       // TCP, HTTP with the counters, 1 to 65535, not the peer port
    Endpoint platform;                 // of the platform's object API
    std::vector<std::string> keyFiles; // 1 or 2; the first signs, both verify; may be none when flows are forwarded
    uint32_t workers = 2;              // threads, 1 to 256
    uint32_t drainSeconds = 30;        // at most, from SIGTERM to the exit, 1 to 3600
    std::vector<PeerSeed> seeds;       // may be empty
    NodeSettings parts;                // tunables of the parts; drainTimeout follows drainSeconds
    std::optional<FlowServiceSettings> flows;
};

/** Either settings, or all faults that were found. */
struct CheckedSettings
{
    std::optional<DaemonSettings> settings;
    std::vector<Fault> faults;
};

/** Either the keys in the order of their files, or all faults; no fault shows a byte of a key. */
struct LoadedKeys
{
    std::vector<Bytes> keys;
    std::vector<Fault> faults;
};

constexpr size_t minKeyBytes = 16;

/** Checks the text of a settings file. Thread safe. */
CheckedSettings parseSettings(std::string_view text);
/** Reads and checks a settings file. Thread safe. */
CheckedSettings loadSettings(const std::string &path);
/** Reads the key files: hexadecimal digits, or any bytes, of at least minKeyBytes. Thread safe. */
LoadedKeys loadKeys(const std::vector<std::string> &files);
/**
 * The keys of instances without key files, from their peer group. They keep deployments apart and find damaged messages; they keep nobody out. Thread safe.
 */
std::vector<Bytes> groupKeys(const FlowServiceSettings &flows);
/** Settings as JSON text, which parseSettings reads as the same. Thread safe. */
std::string writeSettings(const DaemonSettings &settings);
/** The settings to start from: every default, and examples where there is none. Thread safe. */
DaemonSettings exampleSettings();

/** Does the work of `hornbeamd --check-settings FILE`: prints all faults, of the key files too. Returns the exit code, 0 or 2. */
int checkSettings(const std::string &path, std::ostream &out);
/** Does the work of `hornbeamd --print-defaults`. Returns the exit code, 0. */
int printDefaults(std::ostream &out);

} // namespace hornbeam
