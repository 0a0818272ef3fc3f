#pragma once

// Echo option values (RFC 9175), which identify non-idempotent requests.

#include "core/clock.h"
#include "peer/keyring.h"

#include <atomic>
#include <optional>

namespace hornbeam {

constexpr size_t echoBytes = 32; // four 64-bit numbers, big endian

struct EchoValue
{
    MemberId maker = 0; // the issuing instance, the only one that may run the request
    Incarnation incarnation = 0;
    uint64_t number = 0; // ms since the maker started << 20 | serial; unique within one incarnation
    uint64_t signature = 0;
};

/** Encodes the option value as 32 bytes. Thread safe. */
Bytes encodeEcho(const EchoValue &value);
/** Decodes an option value; nullopt unless it has echoBytes bytes. Does not check the signature. Thread safe. */
std::optional<EchoValue> decodeEcho(const Bytes &bytes);

/** Issues and verifies Echo values. All methods are thread safe. */
class EchoMaker
{
public:
    /** Precondition: `clock` and `keys` outlive this object. */
    EchoMaker(MemberId maker, Incarnation incarnation, const Clock &clock, const KeyRing &keys);
    /** Issues a unique value bound to the caller and the service. */
    EchoValue make(ServiceId service, const Endpoint &caller);
    /** Whether the value was signed with one of the keys for this caller and service. */
    bool verify(const EchoValue &value, ServiceId service, const Endpoint &caller) const;
    /** Whether this incarnation of this instance issued the value. Precondition: verify() returned true. */
    bool isOwn(const EchoValue &value) const;
    /** Time since the value was issued. Precondition: isOwn() returned true. */
    Duration age(const EchoValue &value) const;
    /** The highest number issued so far; 0 when there is none. */
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
