// Opens feeds over fakes and prints what each takes: bytes of memory, microseconds of a notification, bytes of a FeedMove.
//
// Usage: bench-feeds [feeds]

#include "core/upstreamtoken.h"
#include "feeds/feedengine.h"
#include "peer/codec.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

using namespace hornbeam;

namespace {

constexpr size_t defaultFeeds = 300'000;
constexpr size_t boards = 200; // different paths that callers watch
constexpr MemberId self = 1;
constexpr MemberId other = 2;
const ServiceId service = serviceIdOf("booking");
const Endpoint targetEndpoint{ 0x0B000001, 5683 };

class BenchDirectory final : public MemberDirectory
{
public:
    bool leaving = false;

    MemberRecord self() const override
    {
        return MemberRecord{ ::self, 1, {}, 1, 0, MemberState::Alive };
    }
    std::optional<MemberRecord> find(MemberId member) const override
    {
        return MemberRecord{ member, 1, {}, 1, 0, MemberState::Alive };
    }
    std::vector<MemberRecord> eligibleIn(ZoneId) const override
    {
        return {};
    }
    std::vector<ZoneId> reachableZones() const override
    {
        return { 1 };
    }
    MemberId ownerIn(ZoneId, uint64_t, size_t rank) const override
    {
        return rank == 0 ? ::self : other;
    }
    MemberId flowOwner(uint64_t) const override
    {
        return this->leaving ? other : ::self;
    }
    uint64_t viewVersion() const override
    {
        return this->leaving ? 2 : 1;
    }
};

class BenchTables final : public TableSource
{
public:
    BenchTables()
    {
        this->table->id = service;
        TargetRow row;
        row.id = 1;
        row.endpoint = targetEndpoint;
        this->table->rows.push_back(row);
    }
    std::shared_ptr<const ServiceTable> find(ServiceId) const override
    {
        return this->table;
    }
    std::vector<std::shared_ptr<const ServiceTable>> all() const override
    {
        return { this->table };
    }
    uint64_t changes() const override
    {
        return 1;
    }

private:
    std::shared_ptr<ServiceTable> table = std::make_shared<ServiceTable>();
};

class BenchPlaces final : public SlotProvider
{
public:
    uint64_t wanted = 0;

    void acquireSlot(const AcquireParams &want, Actions &) override
    {
        this->wanted = want.request;
    }
    void releaseSlot(uint64_t, SlotOutcome, Duration, Actions &) override
    {
    }
};

size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    constexpr size_t pageBytes = 4096;
    return resident * pageBytes;
}

double microsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

Bytes registrationOf(size_t feed)
{
    const std::vector<CoapOption> options{ { optionObserve, {} },
                                           { optionUriPath, optionValue("boards") },
                                           { optionUriPath, optionValue(std::to_string(feed % boards)) } };
    return buildCoap(CoapType::Confirmable, CoapCode::Get, static_cast<uint16_t>(feed), optionValue(static_cast<uint32_t>(feed + 0x10000)), options, "");
}

} // namespace

int main(int argc, char **argv)
{
    const size_t feeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : defaultFeeds;
    ManualClock clock;
    Counters counters;
    BenchDirectory directory;
    BenchTables tables;
    BenchPlaces places;
    FeedSettings settings;
    FeedEngine engine(settings, directory, tables, places, clock, counters);
    std::vector<uint64_t> numbers(feeds);

    const size_t before = residentBytes();
    auto start = std::chrono::steady_clock::now();
    for (size_t feed = 0; feed < feeds; ++feed) {
        const Endpoint caller{ static_cast<uint32_t>(0x0A000000 + feed), 5000 };
        const Bytes packet = registrationOf(feed);
        Actions out;
        engine.onCallerPacket(Relay{ service, caller, other, 1, packet }, *parseCoap(packet), out);
        numbers[feed] = places.wanted & ~feedSlotBit;
        engine.slotGranted(GrantedSlot{ places.wanted, service, 1, 1, targetEndpoint }, out);
        const auto sent = parseCoap(out.toTargets.at(0).packet);
        const Bytes answer =
            buildCoap(CoapType::Acknowledgement, CoapCode::Content, sent->messageId, sent->token, { { optionObserve, optionValue(1U) } }, "state");
        engine.onTargetPacket(targetEndpoint, answer.data(), answer.size(), *parseCoap(answer), out);
    }
    const double openMicros = microsSince(start) / static_cast<double>(feeds);
    const size_t feedBytes = (residentBytes() - before) / feeds;
    std::printf("feeds=%zu open=%zu sizeof_feed=%zu sizeof_registration=%zu resident_bytes_per_feed=%zu open_us=%.2f\n", feeds, engine.openCount(),
                sizeof(Feed), sizeof(Registration), feedBytes, openMicros);

    start = std::chrono::steady_clock::now();
    for (size_t feed = 0; feed < feeds; ++feed) {
        const Bytes update = buildCoap(CoapType::NonConfirmable, CoapCode::Content, static_cast<uint16_t>(feed), makeToken(TokenKind::Feed, numbers[feed]),
                                       { { optionObserve, optionValue(2U) } }, "state");
        Actions out;
        engine.onTargetPacket(targetEndpoint, update.data(), update.size(), *parseCoap(update), out);
    }
    std::printf("notification_us=%.2f (with building and parsing it)\n", microsSince(start) / static_cast<double>(feeds));

    start = std::chrono::steady_clock::now();
    constexpr int idleTicks = 100;
    for (int tick = 0; tick < idleTicks; ++tick) {
        clock.advance(milliseconds(50));
        Actions out;
        engine.tick(out);
    }
    std::printf("idle_tick_us=%.1f\n", microsSince(start) / idleTicks);

    start = std::chrono::steady_clock::now();
    size_t refreshes = 0;
    for (int tick = 0; tick < 200; ++tick) { // the 10 s in which each feed is asked again once
        clock.advance(milliseconds(50));
        Actions out;
        engine.tick(out);
        refreshes += out.toTargets.size();
    }
    std::printf("refreshes=%zu refresh_tick_us=%.1f\n", refreshes, microsSince(start) / 200);

    directory.leaving = true;
    size_t moves = 0;
    size_t moveBytes = 0;
    size_t moved = 0;
    Duration time{};
    for (; time < seconds(20); time += milliseconds(50)) {
        clock.advance(milliseconds(50));
        Actions out;
        engine.tick(out);
        for (const OutgoingMessage &message : out.toPeers) {
            if (const auto *move = std::get_if<FeedMove>(&message.message)) {
                ++moves;
                moved += 1 + move->others.size();
                moveBytes += encodeMessage(message.message).size();
            }
        }
    }
    std::printf("moved=%zu messages=%zu bytes_per_feed=%.1f bytes_per_second=%.0f\n", moved, moves, static_cast<double>(moveBytes) / static_cast<double>(moved),
                static_cast<double>(moveBytes) / std::chrono::duration<double>(time).count());
    return 0;
}
