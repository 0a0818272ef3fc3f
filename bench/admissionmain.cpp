// Compares the admission of new flows with placements that know every queue (docs/design/admission.md, "What can be reached"), in the model of the unit tests.
//
// Usage: bench-admission

#include "servicefake.h"

#include <array>
#include <cmath>
#include <cstdio>

using namespace hornbeam;

namespace {

struct BoundCase
{
    const char *name = "";
    double load = 0; // of the slots
    size_t callers = 1;
    bool isOther = false;    // BfB: both kinds with pooled flows, over the slots of both services
    double burstSeconds = 0; // of the preferred kind, at 2.2 times its rate
};

constexpr std::array boundCases{
    BoundCase{ "93%", 0.93 },
    BoundCase{ "97%", 0.97 },
    BoundCase{ "98%", 0.98 },
    BoundCase{ "111%", 1.11 },
    BoundCase{ "118%", 1.18 },
    BoundCase{ "burst, 4 s", 0.8, 1, false, 4 },
    BoundCase{ "burst, 20 s", 0.8, 1, false, 20 },
    BoundCase{ "98%, 40 pools", 0.98, 40 },
    BoundCase{ "111%, 40 pools", 1.11, 40 },
    BoundCase{ "118%, 40 pools", 1.18, 40 },
    BoundCase{ "93%, BfB", 0.93, 1, true },
    BoundCase{ "111%, BfB", 1.11, 1, true },
    BoundCase{ "118%, BfB", 1.18, 1, true },
};
constexpr std::array<uint32_t, 5> boundSeeds{ 7, 11, 101, 1009, 20261204 };
constexpr std::array flowsPerSlot{ 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 4.0, 6.0 };
constexpr size_t firstKind = 0; // less preferred, pooled
constexpr size_t preferredKind = 1;

enum class Placing : uint8_t {
    OwnCounts, // the code, without reports
    Reports,   // the code
    Perfect,   // one place that knows all queues, with a bound on the open flows of the less preferred kind
};

struct BoundResult
{
    double value = 0;
    double preferred = 0; // shares in time
    double all = 0;
    double refused = 0; // new flows of the preferred kind
    double flows = 0;   // opened by the less preferred kind
};

size_t targetsOf(const BoundCase &of)
{
    return of.isOther ? 50 : 40;
}

std::unique_ptr<ServiceFake> makeBoundService(const BoundCase &of, uint32_t seed)
{
    const double slots = static_cast<double>(targetsOf(of) * ServiceFake::slots);
    FakeRoute many;
    many.demand = { { 1, 1 }, 2, milliseconds(of.isOther ? 300 : 400) };
    many.service = of.isOther ? 0.034 : 0.06;
    many.rate = (of.isOther ? 0.73 : 0.6) * of.load * slots / many.service;
    many.isPooled = true;
    many.callers = of.callers;
    FakeRoute few = many;
    few.demand = { { 2, 1 }, 1, milliseconds(400) };
    few.service = of.isOther ? 0.044 : 0.06;
    few.rate = (of.isOther ? 0.27 : 0.4) * of.load * slots / few.service;
    few.isPooled = of.isOther;
    return std::make_unique<ServiceFake>(WaitingSettings{}, 29, targetsOf(of), std::vector{ many, few }, seed);
}

/** Pooled flows go to the target with the fewest of them, others to the shortest queue. Flows of the less preferred kind beyond `limit` are refused. */
class PerfectPlacement
{
public:
    PerfectPlacement(ServiceFake &service, size_t targets, double limit, uint32_t seed) : service(service), limit(limit), flows(targets), random(seed + 1)
    {
    }
    std::optional<size_t> operator()(size_t route)
    {
        const bool isPooled = this->service.routes[route].isPooled;
        if (route == firstKind && static_cast<double>(this->service.routes[route].opened) >= this->limit) {
            return std::nullopt;
        }
        size_t best = 0;
        auto least = std::make_pair(SIZE_MAX, SIZE_MAX);
        for (size_t i = 0, first = this->random() % this->flows.size(); i < this->flows.size(); ++i) {
            const size_t target = (first + i) % this->flows.size();
            const auto cost = isPooled ? std::make_pair(this->flows[target], this->service.loadOf(target))
                                       : std::make_pair(this->service.loadOf(target), this->flows[target]);
            best = cost < least ? target : best;
            least = std::min(least, cost);
        }
        this->flows[best] += isPooled ? 1 : 0;
        return best;
    }

private:
    ServiceFake &service;
    const double limit;
    std::vector<size_t> flows; // pooled, by target
    std::minstd_rand random;
};

BoundResult playBound(const BoundCase &of, Placing placing, double limit, uint32_t seed)
{
    const auto service = makeBoundService(of, seed);
    if (placing == Placing::Reports) {
        service->beginReports({});
    }
    if (placing == Placing::Perfect) {
        service->place = PerfectPlacement(*service, targetsOf(of), limit * static_cast<double>(targetsOf(of) * ServiceFake::slots), seed);
    }
    service->run(of.burstSeconds > 0 ? 5 : 3);
    service->routes[preferredKind].rate *= of.burstSeconds > 0 ? 2.2 : 1;
    service->run(of.burstSeconds > 0 ? of.burstSeconds : 20);
    const FakeRoute &many = service->routes[firstKind];
    const FakeRoute &few = service->routes[preferredKind];
    const auto requests = static_cast<double>(many.requests + few.requests);
    const auto inTime = static_cast<double>(many.inTime + few.inTime);
    const double late = (of.isOther ? 0.1 : 0.3) * static_cast<double>(many.late + few.late);
    return { (inTime + late) / requests, few.inTimeShare(), inTime / requests, static_cast<double>(few.refusals), static_cast<double>(many.opened) };
}

std::vector<BoundResult> playSeeds(const BoundCase &of, Placing placing, double limit = 0)
{
    std::vector<BoundResult> results;
    results.reserve(boundSeeds.size());
    for (const uint32_t seed : boundSeeds) {
        results.push_back(playBound(of, placing, limit, seed));
    }
    return results;
}

double meanOf(const std::vector<BoundResult> &results, double BoundResult::*member)
{
    double sum = 0;
    for (const BoundResult &result : results) {
        sum += result.*member;
    }
    return sum / static_cast<double>(results.size());
}

double deviationOf(const std::vector<BoundResult> &results, double BoundResult::*member)
{
    const double mean = meanOf(results, member);
    double sum = 0;
    for (const BoundResult &result : results) {
        sum += (result.*member - mean) * (result.*member - mean);
    }
    return std::sqrt(sum / static_cast<double>(results.size() - 1));
}

void printRow(const BoundCase &of, const char *what, const std::vector<BoundResult> &results)
{
    std::printf("| %s | %s |", of.name, what);
    for (const auto member : { &BoundResult::value, &BoundResult::preferred, &BoundResult::all }) {
        std::printf(" %.3f ± %.3f |", meanOf(results, member), deviationOf(results, member));
    }
    std::printf(" %.0f | %.0f |\n", meanOf(results, &BoundResult::refused), meanOf(results, &BoundResult::flows));
}

}

int main()
{
    for (const BoundCase &of : boundCases) {
        printRow(of, "code, own counts", playSeeds(of, Placing::OwnCounts));
        printRow(of, "code, reports", playSeeds(of, Placing::Reports));
        std::vector<BoundResult> best;
        std::vector<BoundResult> preferring; // the most value with 0.97 of the preferred kind, or else the most of the preferred kind
        const auto preferenceOf = [](const std::vector<BoundResult> &results) {
            const double preferred = std::min(0.97, meanOf(results, &BoundResult::preferred));
            return std::make_pair(preferred, meanOf(results, &BoundResult::value));
        };
        for (const double limit : flowsPerSlot) {
            const std::vector<BoundResult> results = playSeeds(of, Placing::Perfect, limit);
            best = best.empty() || meanOf(results, &BoundResult::value) > meanOf(best, &BoundResult::value) ? results : best;
            preferring = preferring.empty() || preferenceOf(results) > preferenceOf(preferring) ? results : preferring;
        }
        printRow(of, "perfect, most value", best);
        printRow(of, "perfect, preferred kind first", preferring);
    }
}
