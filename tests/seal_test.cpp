#include "peer/keyring.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

const Bytes oldKey(32, 1);
const Bytes newKey(32, 2);
const Bytes text{ 'h', 'o', 'r', 'n' };

} // namespace

TEST_CASE("a key ring signs with its first key and verifies with all")
{
    const KeyRing before({ oldKey });
    const KeyRing during({ newKey, oldKey });
    const KeyRing after({ newKey });

    SECTION("RFC 4231 test case 2 gives the start of the digest that it lists")
    {
        const KeyRing ring({ Bytes{ 'J', 'e', 'f', 'e' } });
        const std::string message = "what do ya want for nothing?";
        CHECK(ring.sign(reinterpret_cast<const uint8_t *>(message.data()), message.size()) == 0x5bdcc146bf60754eULL);
    }
    SECTION("while keys rotate, both are valid")
    {
        CHECK(during.verify(text.data(), text.size(), before.sign(text.data(), text.size())));
        CHECK(after.verify(text.data(), text.size(), during.sign(text.data(), text.size())));
    }
    SECTION("a retired key and a changed text are refused")
    {
        CHECK_FALSE(after.verify(text.data(), text.size(), before.sign(text.data(), text.size())));
        CHECK_FALSE(after.verify(text.data(), text.size() - 1, after.sign(text.data(), text.size())));
    }
}
