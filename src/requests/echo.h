#pragma once

// The identity of a non-idempotent request: the value of the Echo option (RFC 9175) that a balancer made for it.

#include "core/clock.h"
#include "peer/keyring.h"

#include <atomic>
#include <optional>

namespace hornbeam {

constexpr size_t echoBytes = 32; // four 64-bit numbers, big endian

struct EchoValue
{
    MemberId maker = 0; // the instance that alone may run the request
    Incarnation incarnation = 0;
    uint64_t number = 0; // ms since the maker's start << 20 | serial; never used twice by one incarnation
    uint64_t signature = 0;
};

/** The option's 32 bytes. Thread safe. */
Bytes encodeEcho(const EchoValue &value);
/** Reads an option's bytes. Returns nothing when the length is another. Does not check the signature. Thread safe. */
std::optional<EchoValue> decodeEcho(const Bytes &bytes);

/** Makes and checks Echo values. All methods are thread safe. */
class EchoMaker
{
public:
    /** Precondition: `clock` and `keys` outlive this object. */
    EchoMaker(MemberId maker, Incarnation incarnation, const Clock &clock, const KeyRing &keys);
    /** A value that no call gave before, bound to the caller and the service. */
    EchoValue make(ServiceId service, const Endpoint &caller);
    /** Whether a holder of the key made this value for this caller and service. */
    bool verify(const EchoValue &value, ServiceId service, const Endpoint &caller) const;
    /** Whether this incarnation of this instance made it. Precondition: verified. */
    bool isOwn(const EchoValue &value) const;
    /** Time since the value was made. Precondition: isOwn. */
    Duration age(const EchoValue &value) const;
    /** The highest number made so far; 0 when there is none. */
    uint64_t newestNumber() const;

private:
    uint64_t firstNumberAt(TimePoint now) const;

    const MemberId maker;
    const Incarnation incarnation;
    const Clock &clock;
    const KeyRing &keys;
    const TimePoint startedAt;
    std::atomic<uint64_t> newest{ 0 };
};

} // namespace hornbeam
