#include "requests/echo.h"

#include "core/bigendian.h"

#include <algorithm>
#include <array>

namespace hornbeam {

namespace {

constexpr unsigned serialBits = 20; // the low bits of a number count the values of one millisecond
constexpr size_t wordBytes = sizeof(uint64_t);

void appendWord(Bytes &out, uint64_t word)
{
    out.resize(out.size() + wordBytes);
    writeBigEndian(out.data() + out.size() - wordBytes, wordBytes, word);
}

uint64_t readWord(const Bytes &bytes, size_t index)
{
    return readBigEndian(bytes.data() + index * wordBytes, wordBytes);
}

Bytes signedBytes(const EchoValue &value, ServiceId service, const Endpoint &caller)
{
    Bytes input;
    input.reserve(5 * wordBytes);
    appendWord(input, value.maker);
    appendWord(input, value.incarnation);
    appendWord(input, value.number);
    appendWord(input, caller.key());
    appendWord(input, service);
    return input;
}

} // namespace

Bytes encodeEcho(const EchoValue &value)
{
    Bytes bytes;
    bytes.reserve(echoBytes);
    appendWord(bytes, value.maker);
    appendWord(bytes, value.incarnation);
    appendWord(bytes, value.number);
    appendWord(bytes, value.signature);
    return bytes;
}

std::optional<EchoValue> decodeEcho(const Bytes &bytes)
{
    if (bytes.size() != echoBytes) {
        return std::nullopt;
    }
    EchoValue value;
    value.maker = readWord(bytes, 0);
    value.incarnation = readWord(bytes, 1);
    value.number = readWord(bytes, 2);
    value.signature = readWord(bytes, 3);
    return value;
}

EchoMaker::EchoMaker(MemberId maker, Incarnation incarnation, const Clock &clock, const KeyRing &keys)
    : maker(maker), incarnation(incarnation), clock(clock), keys(keys), startedAt(clock.now())
{
}

uint64_t EchoMaker::firstNumberAt(TimePoint now) const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - this->startedAt).count();
    return static_cast<uint64_t>(elapsed) << serialBits;
}

EchoValue EchoMaker::make(ServiceId service, const Endpoint &caller)
{
    EchoValue value;
    value.maker = this->maker;
    value.incarnation = this->incarnation;
    const uint64_t minNumber = this->firstNumberAt(this->clock.now());
    uint64_t previous = this->newest.load();
    do {
        value.number = std::max(previous + 1, minNumber);
    } while (!this->newest.compare_exchange_weak(previous, value.number));
    const Bytes input = signedBytes(value, service, caller);
    value.signature = this->keys.sign(input.data(), input.size());
    return value;
}

bool EchoMaker::verify(const EchoValue &value, ServiceId service, const Endpoint &caller) const
{
    const Bytes input = signedBytes(value, service, caller);
    return this->keys.verify(input.data(), input.size(), value.signature);
}

bool EchoMaker::isOwn(const EchoValue &value) const
{
    return value.maker == this->maker && value.incarnation == this->incarnation;
}

Duration EchoMaker::age(const EchoValue &value) const
{
    const Duration madeAt = milliseconds(value.number >> serialBits);
    return (this->clock.now() - this->startedAt) - madeAt;
}

uint64_t EchoMaker::newestNumber() const
{
    return this->newest.load();
}

} // namespace hornbeam
