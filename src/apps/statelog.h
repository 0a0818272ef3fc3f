#pragma once

// Log lines for changes of state: members, keeper roles, tables in force, the platform, the planned stop, feeds taken over.

#include "node/node.h"

#include <map>

namespace hornbeam {

/** Compares the node's state with that of the last call. Not thread safe: one timer owns it. */
class StateLog
{
public:
    /** Precondition: the node and the counters outlive the log. */
    StateLog(const Node &node, const Counters &counters);

    /** Writes a line for each change since the last call. To be called every second or so. */
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
