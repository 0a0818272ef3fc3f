// Load for one running hornbeamd: stand-in targets that answer at once, and callers that go to the balancer or straight to the targets.
// Prints the latency of both ways, measured in turns, and the throughput of a fixed number of requests in progress. demo/load starts all.
//
// Usage: bench-load --to ADDRESS:PORT [--rate N] [--seconds N] [--feeds N] [--turns N] [--in-progress N]

#include "core/clock.h"
#include "core/coap.h"
#include "transport/udpsocket.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <thread>

using namespace hornbeam;

namespace {

using BenchClock = std::chrono::steady_clock;

constexpr size_t targetCount = 14;
constexpr uint32_t firstTarget = 0x7F090301; // 127.9.3.1, as in demo/load
constexpr uint16_t targetPort = 18700;
constexpr uint32_t firstCaller = 0x7F010001; // 127.1.0.1
constexpr size_t tokensPerCaller = 60;       // feeds of one caller, below FeedSettings::maxFeedsPerFlow
constexpr size_t requestCallers = 64;
constexpr uint64_t firstFeedToken = 0x1000000;
constexpr auto sendInterval = milliseconds(1);
constexpr auto lastAnswersWait = milliseconds(500);

struct LoadSettings
{
    std::string to;
    size_t rate = 5000;    // new requests a second
    size_t length = 5;     // of each turn
    size_t feeds = 0;      // opened before the first turn
    size_t turns = 3;      // of each way
    size_t inProgress = 0; // requests in progress at a time, for throughput; 0: not measured
};

/** Targets in a thread of their own; each answers a request at once. */
class Targets
{
public:
    Targets()
    {
        for (size_t i = 0; i < targetCount; ++i) {
            auto socket = std::make_unique<UdpSocket>(this->context, Endpoint{ static_cast<uint32_t>(firstTarget + i), targetPort }, false);
            UdpSocket &sender = *socket;
            if (!socket->error().empty()) {
                throw std::runtime_error(socket->error());
            }
            socket->beginReceive([&sender](const Endpoint &from, const uint8_t *data, size_t size) { answer(sender, from, data, size); });
            this->sockets.push_back(std::move(socket));
        }
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~Targets()
    {
        this->context.stop();
        this->thread.join();
    }
    Targets(const Targets &) = delete;
    Targets &operator=(const Targets &) = delete;

private:
    static void answer(UdpSocket &socket, const Endpoint &from, const uint8_t *data, size_t size)
    {
        const auto request = parseCoap(data, size);
        if (!request || !request->isRequest()) {
            return;
        }
        std::vector<CoapOption> options;
        if (request->observe.has_value()) {
            options.push_back({ optionObserve, optionValue(1U) });
        }
        // also a good answer to a health probe
        socket.send(from, buildCoap(CoapType::Acknowledgement, CoapCode::Content, request->messageId, request->token, options, R"({"load":0.1,"busy":0})"));
    }

    boost::asio::io_context context;
    std::vector<std::unique_ptr<UdpSocket>> sockets;
    std::thread thread;
};

/** What one turn of requests gave. */
struct TurnResult
{
    std::vector<double> micros; // latencies, sorted
    size_t sent = 0;
    size_t refused = 0;

    double percentile(double share) const
    {
        return this->micros.empty() ? 0 : this->micros[static_cast<size_t>(share * static_cast<double>(this->micros.size() - 1))];
    }
};

/** Not thread safe: runs in the main thread. */
class Callers
{
public:
    explicit Callers(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            auto socket = std::make_unique<UdpSocket>(this->context, Endpoint{ static_cast<uint32_t>(firstCaller + i), 0 }, false);
            UdpSocket &sender = *socket;
            if (!socket->error().empty()) {
                throw std::runtime_error(socket->error());
            }
            socket->beginReceive([this, &sender](const Endpoint &from, const uint8_t *data, size_t size) { this->onPacket(sender, from, data, size); });
            this->sockets.push_back(std::move(socket));
        }
    }
    /** Opens feeds at a pace of `rate` a second. Returns how many were answered with a sequence number. */
    size_t openFeeds(const Endpoint &to, size_t feeds, size_t rate)
    {
        this->feedHeard.assign(feeds, false);
        for (size_t feed = 0; feed < feeds; ++feed) {
            const Bytes token = optionValue(static_cast<uint32_t>(firstFeedToken + feed));
            const std::vector<CoapOption> options{ { optionObserve, {} }, { optionUriPath, optionValue("boards") } };
            const auto id = static_cast<uint16_t>(feed / this->sockets.size());
            this->sockets[feed % this->sockets.size()]->send(to, buildCoap(CoapType::Confirmable, CoapCode::Get, id, token, options, ""));
            if (feed % (rate / 100) == 0) {
                this->context.run_for(milliseconds(10));
            }
        }
        this->context.run_for(seconds(2));
        return this->feedsOpen;
    }
    /** Sends at a fixed rate, whether answers come or not. Straight to the targets when `to` has port 0. */
    TurnResult runRate(const Endpoint &to, size_t rate, seconds time)
    {
        this->begin();
        const auto start = BenchClock::now();
        while (BenchClock::now() - start < time) {
            const double passed = std::chrono::duration<double>(BenchClock::now() - start).count();
            while (static_cast<double>(this->sentAt.size()) < passed * static_cast<double>(rate)) {
                this->sendRequest(to);
            }
            this->context.run_for(sendInterval);
        }
        return this->finish();
    }
    /** Keeps a number of requests in progress. */
    TurnResult runInProgress(const Endpoint &to, size_t inProgress, seconds time)
    {
        this->begin();
        const auto start = BenchClock::now();
        while (BenchClock::now() - start < time) {
            const size_t lost = this->sentAt.size() - this->result.micros.size() - this->result.refused;
            for (size_t i = lost; i < inProgress; ++i) {
                this->sendRequest(to);
            }
            this->context.run_one_for(sendInterval);
        }
        return this->finish();
    }

private:
    void begin()
    {
        this->result = {};
        this->sentAt.clear();
        this->firstToken += 0x100000;
    }
    TurnResult finish()
    {
        this->context.run_for(lastAnswersWait);
        this->result.sent = this->sentAt.size();
        std::sort(this->result.micros.begin(), this->result.micros.end());
        return this->result;
    }
    void sendRequest(const Endpoint &to)
    {
        const size_t number = this->sentAt.size();
        const Endpoint target{ static_cast<uint32_t>(firstTarget + number % targetCount), targetPort };
        const auto token = static_cast<uint32_t>(this->firstToken + number);
        const auto id = static_cast<uint16_t>(this->nextId++ / requestCallers);
        const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Get, id, optionValue(token), {}, std::string(50, 'x'));
        this->sentAt.push_back(BenchClock::now());
        this->sockets[number % requestCallers]->send(to.port == 0 ? target : to, packet);
    }
    void onPacket(UdpSocket &socket, const Endpoint &from, const uint8_t *data, size_t size)
    {
        const auto answer = parseCoap(data, size);
        if (!answer || !answer->isResponse()) {
            return;
        }
        if (answer->type == CoapType::Confirmable) {
            socket.send(from, buildCoap(CoapType::Acknowledgement, CoapCode::Empty, answer->messageId, {}, {}, ""));
        }
        uint64_t token = 0;
        for (const uint8_t byte : answer->token) {
            token = (token << 8U) | byte;
        }
        if (answer->observe.has_value()) {
            const size_t feed = token - firstFeedToken;
            if (feed < this->feedHeard.size() && !this->feedHeard[feed]) { // later notifications of a feed are not counted again
                this->feedHeard[feed] = true;
                ++this->feedsOpen;
            }
        } else if (token >= this->firstToken && token - this->firstToken < this->sentAt.size()) {
            this->onAnswer(*answer, token - this->firstToken);
        }
    }
    void onAnswer(const CoapMessage &answer, size_t number)
    {
        if (answer.code != static_cast<uint8_t>(CoapCode::Content)) {
            ++this->result.refused;
            return;
        }
        this->result.micros.push_back(std::chrono::duration<double, std::micro>(BenchClock::now() - this->sentAt[number]).count());
    }

    boost::asio::io_context context;
    std::vector<std::unique_ptr<UdpSocket>> sockets;
    std::vector<BenchClock::time_point> sentAt; // by number of the request
    uint64_t firstToken = 0x10000000;
    size_t nextId = 0;
    std::vector<bool> feedHeard; // by number of the feed
    size_t feedsOpen = 0;
    TurnResult result;
};

void print(const char *way, size_t turn, const TurnResult &result, size_t length)
{
    std::printf("way=%s turn=%zu sent=%zu answered=%zu refused=%zu per_second=%.0f p50_us=%.0f p99_us=%.0f\n", way, turn, result.sent, result.micros.size(),
                result.refused, static_cast<double>(result.micros.size()) / static_cast<double>(length), result.percentile(0.5), result.percentile(0.99));
}

int run(int argc, char **argv)
{
    LoadSettings settings;
    CLI::App app{ "Load for one running hornbeamd." };
    app.add_option("--to", settings.to, "address and port of the service at the balancer")->required();
    app.add_option("--rate", settings.rate, "new requests a second");
    app.add_option("--seconds", settings.length, "length of a turn");
    app.add_option("--feeds", settings.feeds, "feeds opened before the first turn");
    app.add_option("--turns", settings.turns, "turns of each way");
    app.add_option("--in-progress", settings.inProgress, "requests in progress, to measure throughput");
    CLI11_PARSE(app, argc, argv);
    Endpoint to;
    if (!parseEndpoint(settings.to, to)) {
        std::fprintf(stderr, "--to: %s is no address and port\n", settings.to.c_str());
        return 2;
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const Targets targets;
    Callers callers(std::max(requestCallers, (settings.feeds + tokensPerCaller - 1) / tokensPerCaller));
    std::this_thread::sleep_for(seconds(12)); // the keeper's slow start of the targets
    if (settings.feeds > 0) {
        std::printf("feeds=%zu opened=%zu\n", settings.feeds, callers.openFeeds(to, settings.feeds, settings.rate));
    }
    const seconds time(settings.length);
    for (size_t turn = 0; turn < settings.turns; ++turn) {
        print("direct", turn, callers.runRate({}, settings.rate, time), settings.length);
        print("balancer", turn, callers.runRate(to, settings.rate, time), settings.length);
    }
    if (settings.inProgress > 0) {
        print("direct_throughput", 0, callers.runInProgress({}, settings.inProgress, time), settings.length);
        print("balancer_throughput", 0, callers.runInProgress(to, settings.inProgress, time), settings.length);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &failure) {
        std::fprintf(stderr, "%s\n", failure.what());
        return 1;
    }
}
