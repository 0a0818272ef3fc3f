#pragma once

// Logs state changes: members, slot allocator roles, tables in force, reachability of the platform, graceful shutdown, moved feeds.

#include "node/node.h"

#include <map>

namespace hornbeam {

/** Detects changes by comparing the state of the node with that of the previous call. Not thread safe: one timer owns it. */
class StateLog
{
public:
    /** Precondition: the node and the counters outlive the log. */
    StateLog(const Node &node, const Counters &counters);

    /** Logs each change since the previous call. Call it about once a second. */
    void update(bool isPlatformReachable);

private:
    void updateMembers();
    void updateTables();
    void updateRoles();

    const Node &node;
    const Counters &counters;
    std::map<MemberId, MemberRecord> members;
    std::map<std::string, TableState> tables;
    size_t allocatedServices = 0;
    uint64_t feedsMoved = 0;
    bool wasReachable = true;
    NodeState state = NodeState::Serving;
};

} // namespace hornbeam
