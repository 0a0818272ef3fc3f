// hornbeamd: the daemon of a balancer instance.

#include "daemon.h"
#include "flowdaemon.h"
#include "settings.h"

#include <CLI/CLI.hpp>
#include <coap3/coap.h>
#include <glog/logging.h>
#include <iostream>

namespace {

constexpr int invalidSettingsExitCode = 2;

}

int main(int argc, char **argv)
{
    std::string path;
    std::string checkPath;
    bool printDefaults = false;
    CLI::App app("hornbeamd: a balancer instance of hornbeamrouter");
    app.set_version_flag("--version", "hornbeamd " HORNBEAM_VERSION);
    app.add_option("--settings", path, "JSON settings file");
    app.add_option("--check-settings", checkPath, "check this settings file, or that of --settings, print all errors, and exit")->expected(0, 1);
    app.add_flag("--print-defaults", printDefaults, "print the settings with their defaults, and exit");
    app.footer("Example:\n  hornbeamd --settings /etc/hornbeamrouter/hornbeamd.json\nExit codes: 0 graceful shutdown or valid settings, 1 failure, 2 invalid "
               "settings or usage.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error);
        return code == 0 ? 0 : 2;
    }
    if (printDefaults) {
        return hornbeam::printDefaults(std::cout);
    }
    const bool isCheck = app.count("--check-settings") > 0;
    if (isCheck && !checkPath.empty()) {
        path = checkPath;
    }
    if (path.empty()) {
        std::cerr << (isCheck ? "--check-settings requires a file\n" : "--settings is required\n");
        return invalidSettingsExitCode;
    }
    if (isCheck) {
        return hornbeam::checkSettings(path, std::cout);
    }
    const hornbeam::CheckedSettings checked = hornbeam::loadSettings(path);
    if (!checked.settings) {
        return hornbeam::checkSettings(path, std::cerr); // prints all errors
    }
    const hornbeam::LoadedKeys keys = hornbeam::loadKeys(checked.settings->keyFiles);
    if (!keys.faults.empty()) {
        return hornbeam::checkSettings(path, std::cerr);
    }
    if (checked.settings->flows.has_value()) {
        hornbeam::FlowDaemon daemon(*checked.settings, keys.keys.empty() ? hornbeam::groupKeys(*checked.settings->flows) : keys.keys, path);
        return daemon.run();
    }
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    coap_set_log_level(LOG_EMERG); // malformed packets are counted, not logged
    hornbeam::Daemon daemon(*checked.settings, keys.keys);
    return daemon.run();
}
