// A stand-in for one target instance.

#include "targetserver.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

int main(int argc, char **argv)
{
    TargetOptions options;
    std::string listen = "127.0.0.1:0";
    std::string lie = "none";
    CLI::App app("A stand-in for one target of hornbeamrouter");
    app.add_option("--name", options.name);
    app.add_option("--service", options.service);
    app.add_option("--listen", listen);
    app.add_option("--slots", options.slots)->check(CLI::PositiveNumber);
    app.add_option("--connections", options.connections);
    app.add_option("--service-ms", options.serviceMs);
    app.add_option("--publish-ms", options.publishMs)->check(CLI::PositiveNumber);
    app.add_option("--cold-ms", options.coldMs);
    app.add_option("--drain-ms", options.drainMs);
    app.add_option("--brochure-bytes", options.brochureBytes)->check(CLI::PositiveNumber);
    app.add_option("--lie", lie)->check(CLI::IsMember({ "none", "up", "bad" }));
    CLI11_PARSE(app, argc, argv);
    if (!hornbeam::parseEndpoint(listen, options.listen)) {
        std::cerr << "--listen: \"" << listen << "\" is not an address of the form a.b.c.d:port\n";
        return 2;
    }
    options.lie = lie == "up" ? HealthLie::AlwaysUp : lie == "bad" ? HealthLie::AlwaysBad : HealthLie::None;

    boost::asio::io_context context(1);
    TargetServer server(context, options);
    if (!server.error().empty()) {
        std::cerr << server.error() << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &failure, int) {
        if (!failure) {
            server.beginDrain();
        }
    });
    server.begin();
    std::cout << "listening " << hornbeam::toString(server.local()) << std::endl;
    context.run();
    const TargetReport &report = server.report();
    std::cout << R"({"target":")" << options.name << R"(","executions":)" << report.executions << R"(,"doubled":)" << report.doubled << R"(,"reads":)"
              << report.reads << R"(,"shed":)" << report.shed << R"(,"misdelivered":)" << report.misdelivered << R"(,"peak_busy":)" << report.peakBusy
              << R"(,"observers_peak":)" << report.observersPeak << R"(,"late_work":)" << report.lateWork << "}" << std::endl;
    return 0;
}
