// Prints what one event, member, service, target, flow or feed costs in processor time, memory and control bytes. No sockets; fixed seed.
//
// Usage: bench-slopes [messages|requests|feeds|members|tables]
//
// Sections: messages | requests | feeds | members | tables

#include "nodenet.h"

#include "peer/codec.h"

#include <cstdio>
#include <functional>
#include <string>

using namespace hornbeam;

namespace {

constexpr uint64_t seed = 20261204;
constexpr size_t zoneMembers = 9;
const std::string serviceName = "booking";
const ServiceId service = serviceIdOf(serviceName);

double microsPer(size_t times, const std::function<void(size_t)> &step)
{
    const double start = threadMicros();
    for (size_t i = 0; i < times; ++i) {
        step(i);
    }
    return (threadMicros() - start) / static_cast<double>(times);
}

double per(double amount, size_t count)
{
    return amount / static_cast<double>(count);
}

Endpoint callerOf(size_t number)
{
    return { static_cast<uint32_t>(0x0B000000 + number), 40000 };
}

//--- Messages

MemberRecord recordOf(size_t number)
{
    return { hashName(std::to_string(number)), 77, { static_cast<uint32_t>(number), 7000 }, 1'790'000'000'000, 3, MemberState::Alive };
}

void printMessage(const char *name, const PeerMessage &message)
{
    constexpr size_t times = 20000;
    const PacketSigner sealer({ Bytes(32, 7) });
    const Bytes encoded = encodeMessage(message);
    const Bytes datagram = sealer.seal(encoded);
    const double encode = microsPer(times, [&](size_t) { encodeMessage(message); });
    const double seal = microsPer(times, [&](size_t) { sealer.seal(encoded); });
    const double open = microsPer(times, [&](size_t) { sealer.open(datagram.data(), datagram.size()); });
    const double decode = microsPer(times, [&](size_t) { decodeMessage(encoded); });
    std::printf("message=%s bytes=%zu encode_us=%.2f seal_us=%.2f open_us=%.2f decode_us=%.2f sum_us=%.2f\n", name, datagram.size(), encode, seal, open, decode,
                encode + seal + open + decode);
}

void printMessages()
{
    Ping ping{ 1, recordOf(1), 99, {}, {} };
    for (size_t i = 0; i < 4; ++i) {
        ping.updates.push_back(recordOf(i + 2));
    }
    printMessage("relay_of_100_bytes", Relay{ service, callerOf(1), recordOf(1).id, 0, Bytes(100, 1) });
    printMessage("relay_of_1000_bytes", Relay{ service, callerOf(1), recordOf(1).id, 0, Bytes(1000, 1) });
    printMessage("ping_with_4_updates", ping);
    printMessage("slot_ask", SlotRequest{ 1ULL << 40U, recordOf(1).id, 1'790'000'000'000, service, 77, SlotKind::Request, recordOf(2).id, 1000, true, 0 });
    printMessage("slot_grant", SlotGrant{ 1ULL << 40U, service, 77, recordOf(1).id, 1ULL << 60U, recordOf(2).id, callerOf(1), SlotKind::Request });
    printMessage("slot_release", SlotRelease{ 1ULL << 40U, recordOf(1).id, 1'790'000'000'000, service, 77, recordOf(2).id, SlotOutcome::Answered, 900 });
}

//--- Requests

void printTraffic(const char *what, const Traffic &before, const NodeNet &net, size_t count)
{
    static const char *const names[messageKinds] = { "ping",         "ping_ack",   "ping_request", "zone_digest", "slot_ask",   "slot_grant", "slot_refusal",
                                                     "slot_release", "held_query", "held_report",  "target_note", "relay",      "records",    "feed_move",
                                                     "feed_copy",    "feed_taken", "feed_drop",    "versions",    "table_pull", "table_text" };
    std::printf("  traffic of %s:", what);
    for (size_t kind = 0; kind < messageKinds; ++kind) {
        const uint64_t messages = net.traffic.messages.at(kind) - before.messages.at(kind);
        const uint64_t bytes = net.traffic.bytes.at(kind) - before.bytes.at(kind);
        if (messages > 0) {
            std::printf(" %s=%.3f/%.1fB", names[kind], per(static_cast<double>(messages), count), per(static_cast<double>(bytes), count));
        }
    }
    std::printf("\n");
}

void printRequests()
{
    constexpr size_t requests = 20000;
    constexpr size_t perStep = 100; // requests in each 20 ms: 5,000 a second
    NodeNet net(zoneMembers, seed);
    net.applyTable(serviceName, tableText(serviceName, 5683, 0x0C000000, 14, 1, 100));
    net.pass(seconds(30));
    for (const CoapCode code : { CoapCode::Get, CoapCode::Post }) {
        const bool isPost = code == CoapCode::Post;
        const Traffic before = net.traffic;
        const size_t memory = residentBytes();
        const double micros = net.micros;
        const double ticks = net.tickMicros;
        const uint64_t answers = net.answers;
        size_t recordBytes = 0;
        for (size_t i = 0; i < requests; ++i) {
            const auto messageId = static_cast<uint16_t>(i);
            net.deliver(i % zoneMembers, service, callerOf(i), buildCoap(CoapType::Confirmable, code, messageId, { 1 }, {}, std::string(100, 'b')));
            if (isPost) {
                const auto challenge = parseCoap(net.lastAnswer.packet);
                const std::vector<CoapOption> options{ { optionEcho, challenge->echo } };
                const auto nextId = static_cast<uint16_t>(messageId + 1);
                net.deliver((i + 4) % zoneMembers, service, callerOf(i), buildCoap(CoapType::Confirmable, code, nextId, { 1 }, options, std::string(100, 'b')));
            }
            if (i % perStep == 0) {
                net.pass(milliseconds(20));
            }
        }
        for (size_t i = 0; i < zoneMembers; ++i) {
            recordBytes += net.node(i).requests().recordBytes();
        }
        std::printf("requests=%s count=%zu answers=%llu us_each=%.2f without_ticks_us=%.2f resident_bytes_each=%.0f record_bytes_each=%.0f\n",
                    isPost ? "post" : "get", requests, static_cast<unsigned long long>(net.answers - answers), per(net.micros - micros, requests),
                    per(net.micros - micros - (net.tickMicros - ticks), requests),
                    per(static_cast<double>(residentBytes()) - static_cast<double>(memory), requests), per(static_cast<double>(recordBytes), requests));
        printTraffic("one request, membership included", before, net, requests);
    }
}

//--- Feeds

void printFeedPass(const char *what, NodeNet &net, seconds time, size_t feeds, size_t running)
{
    const Traffic before = net.traffic;
    const double micros = net.micros;
    const double ticks = net.tickMicros;
    net.pass(time);
    const double daemonSeconds = static_cast<double>(time.count()) * static_cast<double>(running);
    std::printf("feeds=%zu %s seconds=%lld core_percent_of_a_daemon=%.3f tick_part=%.3f control_bytes_per_second_of_a_daemon=%.0f open=%zu copies=%zu\n", feeds,
                what, static_cast<long long>(time.count()), (net.micros - micros) / daemonSeconds / 1e4, (net.tickMicros - ticks) / daemonSeconds / 1e4,
                static_cast<double>(net.traffic.controlBytes() - before.controlBytes()) / daemonSeconds, net.openFeeds(), net.feedCopies());
    printTraffic("one feed", before, net, feeds);
}

void printFeeds(size_t feeds)
{
    NodeNet net(zoneMembers, seed);
    net.applyTable(serviceName, tableText(serviceName, 5683, 0x0C000000, 14, 1, 100));
    net.pass(seconds(30));
    const Traffic before = net.traffic;
    const size_t memory = residentBytes();
    const double micros = net.micros;
    const double ticks = net.tickMicros;
    for (size_t i = 0; i < feeds; ++i) {
        const std::vector<CoapOption> options{ { optionObserve, {} },
                                               { optionUriPath, optionValue("boards") },
                                               { optionUriPath, optionValue(std::to_string(i % 200)) } };
        net.deliver(i % zoneMembers, service, callerOf(i),
                    buildCoap(CoapType::Confirmable, CoapCode::Get, static_cast<uint16_t>(i), optionValue(static_cast<uint32_t>(i)), options, ""));
        if (i % 100 == 0) {
            net.pass(milliseconds(20));
        }
    }
    std::printf("feeds=%zu open=%zu copies=%zu open_us_each=%.2f without_ticks_us=%.2f resident_bytes_each=%.0f\n", feeds, net.openFeeds(), net.feedCopies(),
                per(net.micros - micros, feeds), per(net.micros - micros - (net.tickMicros - ticks), feeds),
                per(static_cast<double>(residentBytes() - memory), feeds));
    printTraffic("one opened feed, membership included", before, net, feeds);
    const std::vector<NodeNet::Subscription> subscriptions = net.subscriptions;
    const double start = net.micros;
    const uint64_t answers = net.answers;
    for (const NodeNet::Subscription &feed : subscriptions) {
        const Bytes update =
            buildCoap(CoapType::NonConfirmable, CoapCode::Content, 9, feed.token, { { optionObserve, optionValue(2U) } }, std::string(100, 'x'));
        net.deliverFromTarget(feed.node, feed.target, update);
    }
    std::printf("notifications=%llu us_each=%.2f\n", static_cast<unsigned long long>(net.answers - answers), per(net.micros - start, subscriptions.size()));
    net.subscriptions.clear();
    printFeedPass("quiet_targets", net, seconds(60), feeds, zoneMembers);
    net.stop(zoneMembers - 1);
    const size_t left = net.openFeeds();
    printFeedPass("after_a_death", net, seconds(30), feeds - left, zoneMembers - 1);
    printFeedPass("30s_later", net, seconds(30), feeds - left, zoneMembers - 1);
}

//--- Members

void printMembers(size_t zones, size_t members)
{
    ManualClock clock;
    Counters counters;
    const PacketSigner sealer({ Bytes(32, 7) });
    std::vector<std::unique_ptr<Membership>> all;
    std::unordered_map<MemberId, size_t> places;
    for (size_t i = 0; i < zones * members; ++i) {
        MemberRecord self = recordOf(i);
        self.zone = zoneIdOf(zoneName(i / members));
        places[self.id] = i;
        all.push_back(std::make_unique<Membership>(MembershipSettings{}, self, clock, counters, seed + i));
        for (size_t known = 0; known < i; known += 1 + i / 10) {
            all.back()->addSeed(all[known]->self().id, all[known]->self().zone, all[known]->self().peer);
        }
    }
    double tickMicros = 0;
    double messageMicros = 0;
    uint64_t bytes = 0;
    const auto pass = [&](Duration time) {
        for (Duration done{}; done < time; done += milliseconds(50)) {
            clock.advance(milliseconds(50));
            Actions out;
            const double start = threadMicros();
            for (const auto &member : all) {
                member->tick(out);
            }
            tickMicros += threadMicros() - start;
            while (!out.toPeers.empty() || !out.toStreams.empty()) {
                Actions next;
                const double begin = threadMicros();
                for (const auto *queue : { &out.toPeers, &out.toStreams }) {
                    for (const OutgoingMessage &message : *queue) {
                        const Bytes datagram = sealer.seal(encodeMessage(message.message));
                        bytes += datagram.size();
                        const auto decoded = decodeMessage(*sealer.open(datagram.data(), datagram.size()));
                        std::visit(
                            [&](const auto &typed) {
                                if constexpr (requires { all[0]->onMessage(typed, next); }) {
                                    all[places[message.peer]]->onMessage(typed, next);
                                }
                            },
                            *decoded);
                    }
                }
                messageMicros += threadMicros() - begin;
                out = std::move(next);
            }
        }
    };
    pass(seconds(30));
    tickMicros = 0;
    messageMicros = 0;
    bytes = 0;
    constexpr seconds measured(10);
    pass(measured);
    const double memberSeconds = static_cast<double>(all.size()) * static_cast<double>(measured.count());
    const MemberDirectory &directory = *all.front();
    const ZoneId zone = directory.self().zone;
    constexpr size_t times = 20000;
    const double owner = microsPer(times, [&](size_t i) { directory.ownerIn(zone, i, 0); });
    const double flow = microsPer(times, [&](size_t i) { directory.flowOwner(mixHash(i, 1)); });
    const double find = microsPer(times, [&](size_t i) { directory.find(all[i % all.size()]->self().id); });
    std::printf("zones=%zu members_of_a_zone=%zu known=%zu tick_core_percent=%.4f message_core_percent=%.4f control_bytes_per_second=%.0f owner_in_us=%.3f "
                "flow_owner_us=%.3f find_us=%.3f\n",
                zones, members, all.front()->members().size(), tickMicros / memberSeconds / 1e4, messageMicros / memberSeconds / 1e4,
                static_cast<double>(bytes) / memberSeconds, owner, flow, find);
}

//--- Tables

void printTables(size_t services)
{
    constexpr size_t targetsPerService = 3;
    NodeNet net(1, seed);
    net.pass(seconds(2));
    const size_t memory = residentBytes();
    const double start = threadMicros();
    for (size_t i = 0; i < services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        net.applyTable(name,
                       tableText(name, static_cast<uint16_t>(2000 + i), static_cast<uint32_t>(0x0C000000 + i * targetsPerService), targetsPerService, 1, 100));
    }
    const double apply = per(threadMicros() - start, std::max<size_t>(services, 1));
    const double bytes = per(static_cast<double>(residentBytes() - memory), std::max<size_t>(services, 1));
    const double takeover = net.tickMicros;
    net.pass(milliseconds(20));
    const double first = net.tickMicros - takeover;
    net.pass(seconds(10));
    const double ticks = net.tickMicros;
    const double micros = net.micros;
    net.pass(seconds(10));
    std::printf("services=%zu targets=%zu apply_us_each=%.1f resident_bytes_each=%.0f first_tick_us=%.0f keeper_of_all_tick_us=%.1f core_percent=%.3f\n",
                services, services * targetsPerService, apply, bytes, first, (net.tickMicros - ticks) / 500, (net.micros - micros) / 1e5);
}

} // namespace

int main(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::string only = argc > 1 ? argv[1] : "";
    std::printf("seed=%llu\n", static_cast<unsigned long long>(seed));
    if (only.empty() || only == "messages") {
        printMessages();
    }
    if (only.empty() || only == "requests") {
        printRequests();
    }
    if (only.empty() || only == "feeds") {
        printFeeds(9'000);
        printFeeds(90'000);
    }
    if (only.empty() || only == "members") {
        printMembers(1, 9);
        printMembers(1, 27);
        printMembers(1, 81);
        printMembers(8, 9);
        printMembers(8, 27);
        printMembers(8, 81);
    }
    if (only.empty() || only == "tables") {
        printTables(0);
        printTables(21);
        printTables(210);
        printTables(1700);
    }
    return 0;
}
