#include "statelog.h"

#include <glog/logging.h>

namespace hornbeam {

StateLog::StateLog(const Node &node, const Counters &counters) : node(node), counters(counters)
{
}

void StateLog::update(bool isPlatformReachable)
{
    if (isPlatformReachable != this->wasReachable) {
        this->wasReachable = isPlatformReachable;
        LOG(INFO) << "platform=" << (isPlatformReachable ? "reachable" : "unreachable");
    }
    const NodeState current = this->node.state();
    if (current != this->state) {
        this->state = current;
        LOG(INFO) << "state=" << nameOf(current) << " requests_in_progress=" << this->node.requests().inProgress()
                  << " feeds_open=" << this->node.feeds().openCount();
    }
    this->updateMembers();
    this->updateTables();
    this->updateRoles();
}

void StateLog::updateMembers()
{
    std::map<MemberId, MemberRecord> current;
    for (const MemberRecord &member : this->node.members()) {
        current.emplace(member.id, member);
        const auto previous = this->members.find(member.id);
        const bool isNew = previous == this->members.end() || previous->second.incarnation != member.incarnation;
        // suspicions are counted, not logged, since most are refuted
        const bool isChanged = !isNew && previous->second.state != member.state && member.state != MemberState::Suspect;
        const bool isRefuted = isChanged && previous->second.state == MemberState::Suspect && member.state == MemberState::Alive;
        if (isNew || (isChanged && !isRefuted)) {
            LOG(INFO) << "member=" << member.id << " peer=" << toString(member.peer) << " zone=" << member.zone << " state=" << nameOf(member.state)
                      << " incarnation=" << member.incarnation;
        }
    }
    this->members = std::move(current);
}

void StateLog::updateTables()
{
    for (const TableState &table : this->node.tables().states()) {
        const auto previous = this->tables.find(table.service);
        const bool isChanged = previous == this->tables.end() || previous->second.version != table.version;
        const bool isNewlyRejected = previous == this->tables.end() || previous->second.refusedVersion != table.refusedVersion;
        if (isChanged) {
            LOG(INFO) << "table=" << table.service << " version_in_force=" << table.version;
        }
        if (isNewlyRejected && table.refusedVersion > table.version) {
            LOG(WARNING) << "table=" << table.service << " version_in_force=" << table.version << " refused_version=" << table.refusedVersion << " fault=\""
                         << (table.faults.empty() ? std::string() : toString(table.faults.front())) << "\"";
        }
        this->tables[table.service] = table;
    }
}

void StateLog::updateRoles()
{
    const size_t allocated = this->node.allocatorLoad().services;
    if (allocated != this->allocatedServices) {
        LOG(INFO) << "keeper_of_services=" << allocated << " before=" << this->allocatedServices;
        this->allocatedServices = allocated;
    }
    const uint64_t moved = this->counters.value(Counter::FeedsMovedIn) + this->counters.value(Counter::FeedsMovedOut);
    if (moved != this->feedsMoved) {
        this->feedsMoved = moved;
        LOG(INFO) << "feeds_moved_in=" << this->counters.value(Counter::FeedsMovedIn) << " feeds_moved_out=" << this->counters.value(Counter::FeedsMovedOut)
                  << " feeds_open=" << this->node.feeds().openCount();
    }
}

} // namespace hornbeam
