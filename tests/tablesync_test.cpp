#include "fakedirectory.h"
#include "table/tablesync.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {
const std::string services[] = { "booking", "catalogue", "auction" };

std::string textOf(size_t service)
{
    return R"({"service":")" + services[service] + R"(","port":)" + std::to_string(5683 + service) + "}";
}

/** Members in two zones whose messages are carried by hand, and may be lost. */
struct Fleet
{
    struct Node
    {
        FakeDirectory directory;
        std::unique_ptr<TableStore> store;
        std::unique_ptr<TableSync> sync;
        TableVersion highest[3] = { 0, 0, 0 };
    };

    ManualClock clock;
    Counters counters;
    std::vector<std::unique_ptr<Node>> nodes;
    uint64_t random = 1;
    unsigned lossPercent = 0;
    bool areZonesCut = false;
    bool hasFallen = false; // a version went back somewhere
    size_t datagrams = 0;

    explicit Fleet(size_t perZone)
    {
        std::vector<MemberRecord> members;
        for (size_t i = 0; i < 2 * perZone; ++i) {
            MemberRecord record;
            record.id = i + 1;
            record.zone = i < perZone ? 1 : 2;
            members.push_back(record);
        }
        for (const MemberRecord &record : members) {
            auto node = std::make_unique<Node>();
            node->directory.me = record;
            node->directory.members = members;
            node->store = std::make_unique<TableStore>(this->clock, this->counters);
            node->sync = std::make_unique<TableSync>(*node->store, node->directory, this->clock, this->counters);
            this->nodes.push_back(std::move(node));
        }
    }

    bool isLost(const Node &from, const Node &to)
    {
        const bool isCut = this->areZonesCut && from.directory.me.zone != to.directory.me.zone;
        this->random = mixHash(this->random, 7);
        return isCut || this->random % 100 < this->lossPercent;
    }

    void deliver(Node &from, const Actions &actions)
    {
        std::vector<MessageOut> messages = actions.toPeers;
        this->datagrams += messages.size();
        messages.insert(messages.end(), actions.toStreams.begin(), actions.toStreams.end());
        for (const MessageOut &out : messages) {
            Node &to = *this->nodes[out.peer - 1];
            if (this->isLost(from, to)) {
                continue;
            }
            Actions answers;
            if (const auto *versions = std::get_if<TableVersions>(&out.message)) {
                to.sync->onMessage(*versions, answers);
            } else if (const auto *pull = std::get_if<TablePull>(&out.message)) {
                to.sync->onMessage(*pull, answers);
            } else if (const auto *text = std::get_if<TableText>(&out.message)) {
                to.sync->onMessage(*text, answers);
            }
            this->checkRising(to);
            this->deliver(to, answers);
        }
    }

    void checkRising(Node &node)
    {
        for (size_t i = 0; i < 3; ++i) {
            const auto table = node.store->find(serviceIdOf(services[i]));
            const TableVersion version = table == nullptr ? 0 : table->version;
            this->hasFallen = this->hasFallen || version < node.highest[i];
            node.highest[i] = version;
        }
    }

    void write(size_t node, size_t service, TableVersion version)
    {
        Actions out;
        if (this->nodes[node]->store->apply(services[service], version, textOf(service)) == ApplyResult::Applied) {
            this->nodes[node]->sync->onLocalChange({ serviceIdOf(services[service]) }, out);
        }
        this->checkRising(*this->nodes[node]);
        this->deliver(*this->nodes[node], out);
    }

    void runSeconds(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            this->clock.advance(seconds(1));
            for (const auto &node : this->nodes) {
                std::vector<MemberId> differing;
                for (const auto &other : this->nodes) {
                    const bool isCut = this->areZonesCut && other->directory.me.zone != node->directory.me.zone;
                    if (!isCut && other->store->digest() != node->store->digest()) {
                        differing.push_back(other->directory.me.id);
                    }
                }
                Actions out;
                node->sync->tick(differing, out);
                this->deliver(*node, out);
            }
        }
    }

    bool isEverywhere(size_t service, TableVersion version) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &node) {
            const auto table = node->store->find(serviceIdOf(services[service]));
            return table != nullptr && table->version == version;
        });
    }
};
}

TEST_CASE("table versions spread among members without the platform")
{
    Fleet fleet(4);

    SECTION("a change at one member reaches every zone at once when nothing is lost")
    {
        fleet.write(0, 0, 5);
        CHECK(fleet.isEverywhere(0, 5));
        AND_WHEN("nothing differs any more")
        {
            const size_t before = fleet.datagrams;
            fleet.runSeconds(30);
            CHECK(fleet.datagrams == before);
        }
    }
    SECTION("losses are mended by the digests")
    {
        fleet.lossPercent = 40;
        fleet.write(0, 0, 5);
        fleet.write(3, 1, 6);
        fleet.runSeconds(15);
        CHECK(fleet.isEverywhere(0, 5));
        CHECK(fleet.isEverywhere(1, 6));
    }
    SECTION("a zone that was cut off catches up through the other's members")
    {
        fleet.areZonesCut = true;
        fleet.write(0, 0, 5);
        CHECK_FALSE(fleet.isEverywhere(0, 5));
        fleet.runSeconds(5);
        fleet.areZonesCut = false;
        fleet.runSeconds(12);
        CHECK(fleet.isEverywhere(0, 5));
    }
    SECTION("a member that starts empty takes every table from a peer")
    {
        fleet.write(0, 0, 5);
        fleet.write(0, 1, 6);
        Fleet::Node &fresh = *fleet.nodes[7];
        fresh.sync.reset();
        fresh.store = std::make_unique<TableStore>(fleet.clock, fleet.counters);
        fresh.sync = std::make_unique<TableSync>(*fresh.store, fresh.directory, fleet.clock, fleet.counters);
        std::fill(std::begin(fresh.highest), std::end(fresh.highest), 0);
        fleet.runSeconds(2);
        CHECK(fleet.isEverywhere(0, 5));
        CHECK(fleet.isEverywhere(1, 6));
    }
    SECTION("a text is asked for once while its answer is under way")
    {
        const TableVersions notice{ 2, { { serviceIdOf("booking"), 9 } }, false };
        Actions out;
        fleet.nodes[0]->sync->onMessage(notice, out);
        fleet.nodes[0]->sync->onMessage(notice, out);
        CHECK(out.toStreams.size() == 1);
        fleet.clock.advance(seconds(3));
        fleet.nodes[0]->sync->onMessage(notice, out);
        CHECK(out.toStreams.size() == 2);
    }
    SECTION("each zone has two watchers, of which one reports")
    {
        size_t watchers = 0;
        size_t reporters = 0;
        for (const auto &node : fleet.nodes) {
            watchers += node->sync->isWatcher() ? 1 : 0;
            reporters += node->sync->isReporter() ? 1 : 0;
        }
        CHECK(watchers == 4);
        CHECK(reporters == 2);
    }
}

TEST_CASE("under any schedule versions never fall and the highest wins everywhere")
{
    const bool held = rc::check("schedules of writes, losses and cuts", [](const std::vector<std::tuple<uint8_t, uint8_t, uint8_t, bool>> &steps) {
        Fleet fleet(3);
        TableVersion highest[3] = { 0, 0, 0 };
        for (const auto &[node, service, version, isCut] : steps) {
            fleet.areZonesCut = isCut;
            fleet.lossPercent = version % 60;
            fleet.write(node % 6, service % 3, version);
            highest[service % 3] = std::max<TableVersion>(highest[service % 3], version);
            fleet.runSeconds(version % 3);
        }
        fleet.areZonesCut = false;
        fleet.lossPercent = 0;
        fleet.runSeconds(40);
        RC_ASSERT(!fleet.hasFallen);
        for (size_t i = 0; i < 3; ++i) {
            const bool isSpread = highest[i] == 0 || fleet.isEverywhere(i, highest[i]);
            RC_ASSERT(isSpread);
        }
    });
    CHECK(held);
}
