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
    const NodeState present = this->node.state();
    if (present != this->state) {
        this->state = present;
        LOG(INFO) << "state=" << nameOf(present) << " requests_in_progress=" << this->node.requests().inProgress()
                  << " feeds_open=" << this->node.feeds().openCount();
    }
    this->updateMembers();
    this->updateTables();
    this->updateRoles();
}

void StateLog::updateMembers()
{
    std::map<MemberId, MemberRecord> present;
    for (const MemberRecord &member : this->node.members()) {
        present.emplace(member.id, member);
        const auto known = this->members.find(member.id);
        const bool isNew = known == this->members.end() || known->second.incarnation != member.incarnation;
        // a suspicion is counted, not logged: most are refuted
        const bool isChanged = !isNew && known->second.state != member.state && member.state != MemberState::Suspect;
        const bool isRefuted = isChanged && known->second.state == MemberState::Suspect && member.state == MemberState::Alive;
        if (isNew || (isChanged && !isRefuted)) {
            LOG(INFO) << "member=" << member.id << " peer=" << toString(member.peer) << " zone=" << member.zone << " state=" << nameOf(member.state)
                      << " incarnation=" << member.incarnation;
        }
    }
    this->members = std::move(present);
}

void StateLog::updateTables()
{
    for (const TableState &table : this->node.tables().states()) {
        const auto known = this->tables.find(table.service);
        const bool isChanged = known == this->tables.end() || known->second.version != table.version;
        const bool isRefusedAnew = known == this->tables.end() || known->second.refusedVersion != table.refusedVersion;
        if (isChanged) {
            LOG(INFO) << "table=" << table.service << " version_in_force=" << table.version;
        }
        if (isRefusedAnew && table.refusedVersion > table.version) {
            LOG(WARNING) << "table=" << table.service << " version_in_force=" << table.version << " refused_version=" << table.refusedVersion << " fault=\""
                         << (table.faults.empty() ? std::string() : toString(table.faults.front())) << "\"";
        }
        this->tables[table.service] = table;
    }
}

void StateLog::updateRoles()
{
    const size_t kept = this->node.allocatorLoad().services;
    if (kept != this->keptServices) {
        LOG(INFO) << "keeper_of_services=" << kept << " before=" << this->keptServices;
        this->keptServices = kept;
    }
    const uint64_t moved = this->counters.value(Counter::FeedsMovedIn) + this->counters.value(Counter::FeedsMovedOut);
    if (moved != this->feedsMoved) {
        this->feedsMoved = moved;
        LOG(INFO) << "feeds_moved_in=" << this->counters.value(Counter::FeedsMovedIn) << " feeds_moved_out=" << this->counters.value(Counter::FeedsMovedOut)
                  << " feeds_open=" << this->node.feeds().openCount();
    }
}

} // namespace hornbeam
