#pragma once

// The membership view on which all other components base their decisions. Implemented by src/membership and by fakes in tests.

#include "peer/messages.h"

#include <optional>
#include <vector>

namespace hornbeam {

/** All methods are thread safe. Each call uses one consistent view, which may change between calls. */
class MemberDirectory
{
public:
    virtual ~MemberDirectory() = default;

    /** This process's own record. */
    virtual MemberRecord self() const = 0;
    /** The record of a member, including dead and departed ones for some minutes; nullopt if it is unknown. */
    virtual std::optional<MemberRecord> find(MemberId member) const = 0;
    /** The members of a zone that may own flows or services: alive or suspected, not leaving. Sorted by identifier. */
    virtual std::vector<MemberRecord> eligibleIn(ZoneId zone) const = 0;
    /** The zones with eligible members and recent contact, including the own zone. Sorted. */
    virtual std::vector<ZoneId> reachableZones() const = 0;
    /**
     * The eligible member of a zone at `rank` (0 is first) in the rendezvous hash order of `key`; 0 if there are fewer members.
     * A leaving instance is not eligible, even in its own view.
     */
    virtual MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const = 0;
    /** The owner of a flow: rendezvous hashing first over the reachable zones, then over the members of the zone. 0 if there is none. */
    virtual MemberId flowOwner(uint64_t flow) const = 0;
    /** Increases with each change of the view. */
    virtual uint64_t viewVersion() const = 0;
};

/** The MemberDirectory::ownerIn key that selects the allocator of a service's slots and connections in a zone. Thread safe. */
inline uint64_t allocatorKey(ServiceId service, ZoneId zone)
{
    return mixHash(0x6B65657065720000ULL, (static_cast<uint64_t>(service) << 32) | zone);
}

/** The key that determines the owner of a caller's flow to a service. Thread safe. */
inline uint64_t flowKey(ServiceId service, const Endpoint &caller)
{
    return mixHash(caller.key(), service);
}

} // namespace hornbeam
