// Tests how instances discover each other through the seed lists in the store.

#include "store/seedlist.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hornbeam;

namespace {

/** In-memory store that responds immediately, can lose write responses, and can be unavailable. */
class SeedStore final : public PlatformApi
{
public:
    std::map<std::string, PlatformObject> objects;
    size_t lists = 0;
    size_t writes = 0;
    bool isUnavailable = false;
    bool losesWriteResponses = false;
    uint64_t revision = 100;

    void get(const std::string &, PlatformCallback) override
    {
    }
    void watch(const std::string &, uint64_t, Duration, PlatformCallback) override
    {
    }
    void instances(PlatformCallback) override
    {
    }
    void list(const std::string &prefix, PlatformCallback done) override
    {
        ++this->lists;
        PlatformReply reply;
        if (!this->isUnavailable) {
            reply.outcome = PlatformOutcome::Ok;
            for (const auto &[key, object] : this->objects) {
                if (key.starts_with(prefix)) {
                    reply.objects.push_back(object);
                }
            }
        }
        done(std::move(reply));
    }
    void put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done) override
    {
        ++this->writes;
        PlatformReply reply;
        const auto found = this->objects.find(key);
        const uint64_t version = found == this->objects.end() ? 0 : found->second.version;
        const uint64_t wanted = condition.kind == PutCondition::Kind::IfVersion ? condition.version : 0;
        if (this->isUnavailable) {
            done(std::move(reply));
            return;
        }
        if (version != wanted) {
            reply.outcome = PlatformOutcome::Conflict;
        } else {
            this->objects[key] = { key, ++this->revision, value, false, nullptr };
            reply.outcome = this->losesWriteResponses ? PlatformOutcome::Unknown : PlatformOutcome::Ok;
            reply.version = this->revision;
        }
        done(std::move(reply));
    }
    std::vector<Endpoint> listedSeeds(const std::string &zone) const
    {
        const auto found = this->objects.find(std::string(seedPrefix) + zone);
        return found == this->objects.end() ? std::vector<Endpoint>{} : parseSeeds(found->second.value);
    }
};

const Endpoint first{ 0x0A010001, 7735 };
const Endpoint second{ 0x0A010002, 7735 };
const Endpoint third{ 0x0A010003, 7735 };
const Endpoint fourth{ 0x0A010004, 7735 };

struct SeedListFixture
{
    explicit SeedListFixture(bool isFirstStart = true) : settings{ isFirstStart }
    {
    }
    SeedSettings settings;
    SeedStore store;
    ManualClock clock;
    std::vector<Endpoint> receivedSeeds;
    SeedList list{ store, clock, 1, "here", first, [this](const Endpoint &seed) { this->receivedSeeds.push_back(seed); }, settings };

    void run(Duration time, const std::vector<Endpoint> &live, bool isKeeper)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(100)) {
            this->clock.advance(milliseconds(100));
            this->list.tick(live, isKeeper);
        }
    }
};

}

TEST_CASE("instances discover each other through the store with a single list call")
{
    SeedListFixture fixture;
    SECTION("the first instance of a zone writes its own address")
    {
        fixture.run(seconds(2), {}, true);
        CHECK(fixture.store.listedSeeds("here") == std::vector<Endpoint>{ first });
        SECTION("and later adds other live instances in a single write")
        {
            fixture.run(seconds(30), { second, third, fourth }, true);
            CHECK(fixture.store.listedSeeds("here") == std::vector<Endpoint>{ first, second, third });
            CHECK(fixture.store.writes == 2);
        }
    }
    SECTION("a later instance reads the listed addresses and writes nothing")
    {
        fixture.store.objects["seeds/here"] = { "seeds/here", 7, serializeSeeds({ second }), false, nullptr };
        fixture.store.objects["seeds/there"] = { "seeds/there", 8, serializeSeeds({ fourth }), false, nullptr };
        fixture.run(milliseconds(1200), {}, true);
        CHECK(fixture.receivedSeeds == std::vector<Endpoint>{ second, fourth });
        fixture.run(seconds(60), { second }, false);
        CHECK(fixture.store.writes == 0);
        CHECK(fixture.store.lists == 1);
    }
    SECTION("an instance that is not part of a first start reads immediately, so that it knows its zone before a fault occurs")
    {
        SeedListFixture laterStart(false);
        laterStart.store.objects["seeds/here"] = { "seeds/here", 7, serializeSeeds({ second }), false, nullptr };
        laterStart.run(milliseconds(100), {}, true);
        CHECK(laterStart.receivedSeeds == std::vector<Endpoint>{ second });
    }
    SECTION("no read when configured seeds have responded")
    {
        fixture.run(seconds(60), { second }, false);
        CHECK(fixture.store.lists == 0);
    }
    SECTION("no listed instance is live: the zone's keeper lists others")
    {
        fixture.store.objects["seeds/here"] = { "seeds/here", 7, serializeSeeds({ fourth }), false, nullptr };
        fixture.run(seconds(30), { second, third }, true);
        CHECK(fixture.store.listedSeeds("here") == std::vector<Endpoint>{ first, second, third });
    }
    SECTION("after a write conflict, the other instance's list is read")
    {
        fixture.run(seconds(2), {}, true);
        fixture.store.objects["seeds/here"] = { "seeds/here", 900, serializeSeeds({ fourth }), false, nullptr };
        fixture.run(seconds(11), { second }, true);
        CHECK(std::find(fixture.receivedSeeds.begin(), fixture.receivedSeeds.end(), fourth) != fixture.receivedSeeds.end());
    }
    SECTION("after a lost write response, the object is read and not written again")
    {
        fixture.store.losesWriteResponses = true;
        fixture.run(seconds(10), {}, true);
        CHECK(fixture.store.listedSeeds("here") == std::vector<Endpoint>{ first });
        CHECK(fixture.store.writes == 1);
    }
    SECTION("reads are retried with a delay while the store is unavailable")
    {
        fixture.store.isUnavailable = true;
        fixture.run(seconds(10), {}, true);
        CHECK(fixture.store.lists >= 3);
        CHECK(fixture.store.lists <= 6);
        fixture.store.isUnavailable = false;
        fixture.run(seconds(5), {}, true);
        CHECK(fixture.store.listedSeeds("here") == std::vector<Endpoint>{ first });
    }
    SECTION("malformed objects give no seeds")
    {
        for (const std::string text : { "", "{", "3", "[3,\"x\",null]", "[\"1.2.3.4:0\"]" }) {
            CHECK(parseSeeds(text).empty());
        }
    }
}
