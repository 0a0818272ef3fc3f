// The settings files change while the balancers run: a bound that was a whole number is a fraction now. Then the balancers are stopped and started in turn.

#include "../6/flows.h"

using namespace review;

int main(int count, char **arguments)
{
    const std::string dir = begin(count, arguments);
    Deployment deployment(dir, "\"evacuation_bound_ms\":5000,\"warmup_excess\":1.5,\"warmup_slack\":5,");
    for (const char *id : { "i-51c0a2f7d1", "i-8e60b3147a", "i-2f94d7c05b", "i-c7713e9d60" }) {
        deployment.addServer(id).start(unixMillis() - 3'600'000);
    }
    deployment.start();
    deployment.beginFlows(40);
    deployment.loop.runFor(5000);

    // With TROUBLE=0 the bound changes, too, to another whole number.
    const std::string slack = hasTrouble() ? "2.5" : "3";
    record("the settings files change: warmupSlack %s", slack.c_str());
    for (const auto &balancer : deployment.balancers) {
        balancer->writeSettings("\"evacuation_bound_ms\":5000,\"warmup_excess\":1.5,\"warmup_slack\":" + slack + ",");
        balancer->signal(SIGHUP);
    }
    deployment.loop.runFor(5000);
    for (const auto &balancer : deployment.balancers) {
        balancer->restart();
        deployment.loop.runFor(8000);
    }
    const size_t answeredBefore = deployment.answered;
    deployment.loop.runFor(5000);
    int notStarted = 0;
    for (const auto &balancer : deployment.balancers) {
        record("%s: %d ends by itself, %s rotation", balancer->name.c_str(), balancer->endsByItself, balancer->isReady ? "in" : "out of");
        notStarted += balancer->isReady ? 0 : 1;
    }
    record("FAULT: %d of %zu programs do not start; %zu requests are answered in the last 5 s", notStarted, deployment.balancers.size(),
           deployment.answered - answeredBefore);
    return notStarted > 0 ? 1 : 0;
}
