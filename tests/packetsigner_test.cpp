#include "peer/packetsigner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {

const Bytes oldKey(32, 1);
const Bytes newKey(32, 2);
const Bytes text{ 'h', 'o', 'r', 'n' };

} // namespace

TEST_CASE("a key ring signs with its first key and verifies with all keys")
{
    const KeyRing before({ oldKey });
    const KeyRing during({ newKey, oldKey });
    const KeyRing after({ newKey });

    SECTION("RFC 4231 test case 2 yields the first 8 bytes of the listed digest")
    {
        const KeyRing ring({ Bytes{ 'J', 'e', 'f', 'e' } });
        const std::string message = "what do ya want for nothing?";
        CHECK(ring.sign(reinterpret_cast<const uint8_t *>(message.data()), message.size()) == 0x5bdcc146bf60754eULL);
    }
    SECTION("both keys are valid during a rotation")
    {
        CHECK(during.verify(text.data(), text.size(), before.sign(text.data(), text.size())));
        CHECK(after.verify(text.data(), text.size(), during.sign(text.data(), text.size())));
    }
    SECTION("after update(), the new key signs and the old key is rejected")
    {
        KeyRing ring({ oldKey });
        ring.update({ newKey });
        CHECK(ring.sign(text.data(), text.size()) == after.sign(text.data(), text.size()));
        CHECK_FALSE(ring.verify(text.data(), text.size(), before.sign(text.data(), text.size())));
    }
    SECTION("a retired key and a modified message are rejected")
    {
        CHECK_FALSE(after.verify(text.data(), text.size(), before.sign(text.data(), text.size())));
        CHECK_FALSE(after.verify(text.data(), text.size() - 1, after.sign(text.data(), text.size())));
    }
}

TEST_CASE("a signed packet is accepted only with a valid key and unmodified")
{
    const PacketSigner sealer({ newKey, oldKey });
    const PacketSigner otherSigner({ Bytes(32, 3) });
    const Bytes sealed = sealer.seal(text);
    REQUIRE(sealed.size() == text.size() + packetSignatureBytes);
    CHECK(sealer.open(sealed.data(), sealed.size()) == text);

    SECTION("a packet signed with an unknown key is rejected")
    {
        const Bytes forged = otherSigner.seal(text);
        CHECK_FALSE(sealer.open(forged.data(), forged.size()).has_value());
    }
    SECTION("every flipped bit is detected, including in the version")
    {
        for (size_t bit = 0; bit < sealed.size() * 8; ++bit) {
            Bytes changed = sealed;
            changed[bit / 8] ^= static_cast<uint8_t>(1U << (bit % 8));
            CHECK_FALSE(sealer.open(changed.data(), changed.size()).has_value());
        }
    }
    SECTION("every truncation is rejected")
    {
        for (size_t size = 0; size < sealed.size(); ++size) {
            CHECK_FALSE(sealer.open(sealed.data(), size).has_value());
        }
    }
    SECTION("an empty message can be signed")
    {
        const Bytes empty = sealer.seal({});
        CHECK(sealer.open(empty.data(), empty.size()) == Bytes());
    }
}

TEST_CASE("arbitrary bytes are never accepted as signed")
{
    const PacketSigner sealer({ newKey, oldKey });
    const bool passed = rc::check("unsigned input is rejected and signed input is accepted", [&sealer](const Bytes &input) {
        RC_ASSERT(!sealer.open(input.data(), input.size()).has_value());
        const Bytes sealed = sealer.seal(input);
        RC_ASSERT(sealer.open(sealed.data(), sealed.size()) == input);
    });
    CHECK(passed);
}
