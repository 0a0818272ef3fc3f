#pragma once

// The platform stand-in's answers, apart from its sockets: one HTTP request in, one answer out, or a watch that waits.

#include "platformstore.h"

#include <array>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hornbeam::standins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** A parsed request target. */
struct HttpTarget
{
    std::string path;
    std::map<std::string, std::string> query;

    uint64_t number(const std::string &key) const;
};

/** A watch's question: is there anything under the prefix above this revision? */
struct WatchQuestion
{
    std::string prefix;
    uint64_t after = 0;
    std::chrono::milliseconds timeout{ 0 };
    uint64_t era = 0; // in which it began
};

/** What to do with a request. */
struct ServiceDecision
{
    HttpResponse response;
    std::optional<WatchQuestion> watch; // wait for this first
    bool isLost = false;                // close without an answer
    std::chrono::milliseconds delay{ 0 };
};

/** Not thread safe: one event loop owns it. */
class PlatformService
{
public:
    PlatformService(uint64_t seed, std::chrono::milliseconds instanceLag);

    /** Decides on a request and carries out its write. `now` dates the list of instances. */
    ServiceDecision handle(const HttpRequest &request, std::chrono::steady_clock::time_point now);
    /** Whether a watch has something to tell. */
    bool isReady(const WatchQuestion &watch) const;
    /** The answer to a watch, with or without changes. */
    HttpResponse answerWatch(const WatchQuestion &watch) const;

private:
    HttpResponse handleObject(const HttpRequest &request, const std::string &key, bool &isWritten);
    HttpResponse handleList(const std::string &kind) const;
    void showInstances(std::chrono::steady_clock::time_point now);
    HttpResponse handleInstance(const HttpRequest &request, const std::string &name, std::chrono::steady_clock::time_point now);
    ServiceDecision decide(const HttpRequest &request, std::chrono::steady_clock::time_point now);
    HttpResponse withEra(HttpResponse response) const;
    bool isHistoryGone(const WatchQuestion &watch) const;
    HttpResponse handleFaults(const HttpRequest &request);
    bool restoreBackup();
    HttpResponse handleCalls() const;
    bool mustFail();

    struct InstanceChange
    {
        std::chrono::steady_clock::time_point at;
        StoredInstance instance;
        bool isRemoved = false;
    };

    PlatformStore store;
    std::optional<PlatformStore> backup; // taken on request
    uint64_t era = 1;                    // rises with each restored backup
    PlatformFaults faults;
    const std::chrono::milliseconds instanceLag;
    std::deque<InstanceChange> pending;    // changes that the list does not show yet
    std::map<std::string, uint64_t> calls; // by kind
};

} // namespace hornbeam::standins
