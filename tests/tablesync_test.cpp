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

/** Members in two zones. Messages are delivered synchronously and may be lost. */
struct TestCluster
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
    bool areZonesPartitioned = false;
    bool hasVersionDecreased = false; // a version decreased at some member
    size_t datagrams = 0;

    explicit TestCluster(size_t perZone)
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
            node->directory.selfRecord = record;
            node->directory.members = members;
            node->store = std::make_unique<TableStore>(this->clock, this->counters);
            node->sync = std::make_unique<TableSync>(*node->store, node->directory, this->clock, this->counters);
            this->nodes.push_back(std::move(node));
        }
    }

    bool isLost(const Node &from, const Node &to)
    {
        const bool isPartitioned = this->areZonesPartitioned && from.directory.selfRecord.zone != to.directory.selfRecord.zone;
        this->random = mixHash(this->random, 7);
        return isPartitioned || this->random % 100 < this->lossPercent;
    }

    void deliver(Node &from, const Actions &actions)
    {
        std::vector<OutgoingMessage> messages = actions.toPeers;
        this->datagrams += messages.size();
        messages.insert(messages.end(), actions.toStreams.begin(), actions.toStreams.end());
        for (const OutgoingMessage &out : messages) {
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
            this->checkMonotonic(to);
            this->deliver(to, answers);
        }
    }

    void checkMonotonic(Node &node)
    {
        for (size_t i = 0; i < 3; ++i) {
            const auto table = node.store->find(serviceIdOf(services[i]));
            const TableVersion version = table == nullptr ? 0 : table->version;
            this->hasVersionDecreased = this->hasVersionDecreased || version < node.highest[i];
            node.highest[i] = version;
        }
    }

    void write(size_t node, size_t service, TableVersion version)
    {
        Actions out;
        if (this->nodes[node]->store->apply(services[service], version, textOf(service)) == ApplyResult::Applied) {
            this->nodes[node]->sync->onLocalChange({ serviceIdOf(services[service]) }, out);
        }
        this->checkMonotonic(*this->nodes[node]);
        this->deliver(*this->nodes[node], out);
    }

    void runSeconds(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            this->clock.advance(seconds(1));
            for (const auto &node : this->nodes) {
                std::vector<MemberId> differing;
                for (const auto &other : this->nodes) {
                    const bool isPartitioned = this->areZonesPartitioned && other->directory.selfRecord.zone != node->directory.selfRecord.zone;
                    if (!isPartitioned && other->store->digest() != node->store->digest()) {
                        differing.push_back(other->directory.selfRecord.id);
                    }
                }
                Actions out;
                node->sync->tick(differing, out);
                this->deliver(*node, out);
            }
        }
    }

    bool isInForceEverywhere(size_t service, TableVersion version) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &node) {
            const auto table = node->store->find(serviceIdOf(services[service]));
            return table != nullptr && table->version == version;
        });
    }
};
}

TEST_CASE("table versions are distributed among members without the platform")
{
    TestCluster cluster(4);

    SECTION("without message loss, a change at one member reaches all zones immediately")
    {
        cluster.write(0, 0, 5);
        CHECK(cluster.isInForceEverywhere(0, 5));
        AND_WHEN("all members agree")
        {
            const size_t before = cluster.datagrams;
            cluster.runSeconds(30);
            CHECK(cluster.datagrams == before);
        }
    }
    SECTION("lost messages are recovered by the digests")
    {
        cluster.lossPercent = 40;
        cluster.write(0, 0, 5);
        cluster.write(3, 1, 6);
        cluster.runSeconds(15);
        CHECK(cluster.isInForceEverywhere(0, 5));
        CHECK(cluster.isInForceEverywhere(1, 6));
    }
    SECTION("a partitioned zone catches up from the other zone after the partition heals")
    {
        cluster.areZonesPartitioned = true;
        cluster.write(0, 0, 5);
        CHECK_FALSE(cluster.isInForceEverywhere(0, 5));
        cluster.runSeconds(5);
        cluster.areZonesPartitioned = false;
        cluster.runSeconds(12);
        CHECK(cluster.isInForceEverywhere(0, 5));
    }
    SECTION("a member that starts without tables pulls all of them from a peer")
    {
        cluster.write(0, 0, 5);
        cluster.write(0, 1, 6);
        TestCluster::Node &fresh = *cluster.nodes[7];
        fresh.sync.reset();
        fresh.store = std::make_unique<TableStore>(cluster.clock, cluster.counters);
        fresh.sync = std::make_unique<TableSync>(*fresh.store, fresh.directory, cluster.clock, cluster.counters);
        std::fill(std::begin(fresh.highest), std::end(fresh.highest), 0);
        cluster.runSeconds(2);
        CHECK(cluster.isInForceEverywhere(0, 5));
        CHECK(cluster.isInForceEverywhere(1, 6));
    }
    SECTION("a text is not pulled again while a pull is pending")
    {
        const TableVersions notice{ 2, { { serviceIdOf("booking"), 9 } }, false };
        Actions out;
        cluster.nodes[0]->sync->onMessage(notice, out);
        cluster.nodes[0]->sync->onMessage(notice, out);
        CHECK(out.toStreams.size() == 1);
        cluster.clock.advance(seconds(3));
        cluster.nodes[0]->sync->onMessage(notice, out);
        CHECK(out.toStreams.size() == 2);
    }
    SECTION("each zone has two watchers, one of which is the reporter")
    {
        size_t watchers = 0;
        size_t reporters = 0;
        for (const auto &node : cluster.nodes) {
            watchers += node->sync->isWatcher() ? 1 : 0;
            reporters += node->sync->isReporter() ? 1 : 0;
        }
        CHECK(watchers == 4);
        CHECK(reporters == 2);
    }
}

TEST_CASE("versions never decrease and all members converge on the highest one under any schedule")
{
    const bool passed =
        rc::check("schedules of writes, message loss and partitions", [](const std::vector<std::tuple<uint8_t, uint8_t, uint8_t, bool>> &steps) {
            TestCluster cluster(3);
            TableVersion highest[3] = { 0, 0, 0 };
            for (const auto &[node, service, version, isPartitioned] : steps) {
                cluster.areZonesPartitioned = isPartitioned;
                cluster.lossPercent = version % 60;
                cluster.write(node % 6, service % 3, version);
                highest[service % 3] = std::max<TableVersion>(highest[service % 3], version);
                cluster.runSeconds(version % 3);
            }
            cluster.areZonesPartitioned = false;
            cluster.lossPercent = 0;
            cluster.runSeconds(40);
            RC_ASSERT(!cluster.hasVersionDecreased);
            for (size_t i = 0; i < 3; ++i) {
                const bool isSpread = highest[i] == 0 || cluster.isInForceEverywhere(i, highest[i]);
                RC_ASSERT(isSpread);
            }
        });
    CHECK(passed);
}
