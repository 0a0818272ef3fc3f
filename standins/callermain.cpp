// A stand-in for the callers of one service. Prints one line for each order's outcome and a JSON report.

#include "callers.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

namespace {

constexpr uint32_t graceSeconds = 15; // for answers still due; a CoAP client repeats for longer, but no answer is due after that

uint32_t percentile(std::vector<uint32_t> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char **argv)
{
    CallerOptions options;
    std::string address;
    CLI::App app("A stand-in for callers of hornbeamrouter");
    app.add_option("--service", options.service);
    app.add_option("--to", address, "address of the service")->required();
    app.add_option("--reads", options.reads);
    app.add_option("--orders", options.orders);
    app.add_option("--brochures", options.brochures);
    app.add_option("--feeds", options.feeds);
    app.add_option("--think-ms", options.thinkMs)->check(CLI::PositiveNumber);
    app.add_option("--seconds", options.seconds)->check(CLI::Range(1, 600));
    app.add_option("--deadline-ms", options.deadlineMs);
    app.add_option("--feed-gap-ms", options.feedGapMs);
    app.add_option("--brochure-bytes", options.brochureBytes);
    app.add_option("--seed", options.seed);
    CLI11_PARSE(app, argc, argv);
    if (!hornbeam::parseEndpoint(address, options.address)) {
        std::cerr << "--to: \"" << address << "\" is not an address of the form a.b.c.d:port\n";
        return 2;
    }
    Callers callers(options);
    if (!callers.run(graceSeconds)) {
        std::cerr << "cannot open a session to " << address << "\n";
        return 1;
    }
    const CallerReport &report = callers.report();
    std::cout << R"({"service":")" << options.service << R"(","sent":)" << report.sent << R"(,"answered":)" << report.answered << R"(,"refused":)"
              << report.refused << R"(,"may_have_run":)" << report.mayHaveRun << R"(,"failed":)" << report.failed << R"(,"lost":)" << report.lost
              << R"(,"torn":)" << report.torn << R"(,"updates":)" << report.updates << R"(,"stale_updates":)" << report.staleUpdates << R"(,"state_back":)"
              << report.stateBack << R"(,"stalled_feeds":)" << report.stalledFeeds << R"(,"broken_feeds":)" << report.brokenFeeds << R"(,"reregistered":)"
              << report.reregistered << R"(,"longest_gap_ms":)" << report.longestGapMs << R"(,"p50_us":)" << percentile(report.latenciesUs, 0.5)
              << R"(,"p99_us":)" << percentile(report.latenciesUs, 0.99) << "}" << std::endl;
    return 0;
}
