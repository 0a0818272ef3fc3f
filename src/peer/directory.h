#pragma once

// The view of the live members that all other parts decide by. Implemented by src/membership, and by fakes in tests.

#include "peer/messages.h"

#include <optional>
#include <vector>

namespace hornbeam {

/** All methods are thread safe; each answers from one consistent view, which may change between two calls. */
class MemberDirectory
{
public:
    virtual ~MemberDirectory() = default;

    /** This process's own record. */
    virtual MemberRecord self() const = 0;
    /** What is known of a member, dead and departed ones included for some minutes; nothing when it was never heard of. */
    virtual std::optional<MemberRecord> find(MemberId member) const = 0;
    /** The members of a zone that may own something: alive or suspected, not leaving. Sorted by identifier. */
    virtual std::vector<MemberRecord> eligibleIn(ZoneId zone) const = 0;
    /** The zones with eligible members that were heard of lately, the own one included. Sorted. */
    virtual std::vector<ZoneId> reachableZones() const = 0;
    /**
     * The eligible member of a zone that comes `rank`-th (0 is first) by rendezvous hashing of `key`; 0 when there are fewer members.
     * A leaving instance is not eligible, not even for itself.
     */
    virtual MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const = 0;
    /** The owner of a flow: rendezvous hashing over the reachable zones first, then over the members of that zone. 0 when there is none. */
    virtual MemberId flowOwner(uint64_t flow) const = 0;
    /** Rises with each change of the view. */
    virtual uint64_t viewVersion() const = 0;
};

/** The key under which the keeper of a service's places in a zone is found by MemberDirectory::ownerIn. Thread safe. */
inline uint64_t keeperKey(ServiceId service, ZoneId zone)
{
    return mixHash(0x6B65657065720000ULL, (static_cast<uint64_t>(service) << 32) | zone);
}

/** The key under which a caller's flow to a service is owned. Thread safe. */
inline uint64_t flowKey(ServiceId service, const Endpoint &caller)
{
    return mixHash(caller.key(), service);
}

} // namespace hornbeam
