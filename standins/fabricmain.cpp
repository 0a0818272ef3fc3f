// A stand-in for the fabric. Commands come as one JSON object in a UDP datagram to --control and are answered by "ok" or what is wrong:
//   {"instances":[{"address":"127.0.1.1","zone":"kl-1"}], "loss":0.01, "duplicate":0.01, "reorder":0.01, "reorder_ms":20}

#include "fabricrouter.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace hornbeam;

namespace {

std::string applyCommand(FabricRouter &router, FabricFaults &faults, const std::string &text)
{
    const auto command = nlohmann::json::parse(text, nullptr, false);
    if (!command.is_object()) {
        return "not a JSON object";
    }
    if (command.contains("instances")) {
        std::vector<FabricInstance> instances;
        for (const auto &item : command["instances"]) {
            Endpoint endpoint;
            if (!parseEndpoint(item.value("address", "") + ":1", endpoint)) {
                return "instances: \"" + item.value("address", "") + "\" is not an address";
            }
            instances.push_back({ endpoint.address, item.value("zone", "") });
        }
        router.updateInstances(std::move(instances));
    }
    faults.loss = command.value("loss", faults.loss);
    faults.duplicate = command.value("duplicate", faults.duplicate);
    faults.reorder = command.value("reorder", faults.reorder);
    faults.reorderMs = command.value("reorder_ms", faults.reorderMs);
    router.updateFaults(faults);
    return "ok";
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> services;
    std::string control = "127.0.0.1:0";
    uint64_t seed = 1;
    CLI::App app("A stand-in for the fabric before hornbeamrouter");
    app.add_option("--service", services, "ADDRESS:PORT=INSTANCEPORT, the address callers use and the port at each instance")->required();
    app.add_option("--control", control, "address for commands");
    app.add_option("--seed", seed);
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context(1);
    FabricRouter router(context, seed);
    for (const std::string &service : services) {
        const size_t equals = service.find('=');
        Endpoint address;
        Endpoint instance;
        if (equals == std::string::npos || !parseEndpoint(service.substr(0, equals), address)
            || !parseEndpoint("0.0.0.0:" + service.substr(equals + 1), instance)) {
            std::cerr << "--service: \"" << service << "\" is not of the form a.b.c.d:port=port\n";
            return 2;
        }
        const std::string failure = router.addService(address, instance.port);
        if (!failure.empty()) {
            std::cerr << failure << "\n";
            return 1;
        }
    }
    Endpoint controlEndpoint;
    if (!parseEndpoint(control, controlEndpoint)) {
        std::cerr << "--control: \"" << control << "\" is not an address of the form a.b.c.d:port\n";
        return 2;
    }
    UdpSocket controlSocket(context, controlEndpoint, false);
    if (!controlSocket.error().empty()) {
        std::cerr << controlSocket.error() << "\n";
        return 1;
    }
    FabricFaults faults;
    controlSocket.beginReceive([&](const Endpoint &from, const uint8_t *data, size_t size) {
        const std::string answer = applyCommand(router, faults, std::string(data, data + size));
        controlSocket.send(from, Bytes(answer.begin(), answer.end()));
    });
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "listening " << toString(controlSocket.local()) << std::endl;
    context.run();
    const FabricReport &report = router.report();
    std::cout << R"({"from_callers":)" << report.fromCallers << R"(,"to_callers":)" << report.toCallers << R"(,"lost":)" << report.lost << R"(,"duplicated":)"
              << report.duplicated << R"(,"reordered":)" << report.reordered << "}" << std::endl;
    return 0;
}
