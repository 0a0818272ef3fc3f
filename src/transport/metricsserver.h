#pragma once

// A minimal read-only HTTP server for metrics and state pages. Each path is served by a function that returns the page's text.

#include "core/types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

/** Returns the text of a page. Called on a worker thread; must be thread safe. */
using PageRenderer = std::function<std::string()>;
/** Parameters of a request, e.g. "/explain?caller=..&route=..", decoded. If a name is repeated, the last value counts. */
using PageParameters = std::map<std::string, std::string>;
/** The response to a request with parameters. */
struct PageResponse
{
    unsigned status = 200; // of HTTP
    std::string text;
};
/** Returns the response to a request with parameters. Called on a worker thread; must be thread safe. */
using QueryRenderer = std::function<PageResponse(const PageParameters &)>;
/** Returns whether a check passes. Called on a worker thread; must be thread safe. */
using CheckFunction = std::function<bool()>;

class MetricsServer
{
public:
    /** Binds the listening socket; error() reports a failure. */
    MetricsServer(boost::asio::io_context &context, const Endpoint &local);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

    /** Empty when the server is bound, otherwise the error message with the address. */
    const std::string &error() const;
    /** Adds a page, e.g. "/metrics". Precondition: called before beginAccept. */
    void addPage(const std::string &path, PageRenderer renderer);
    /** Adds a page that depends on parameters. A request whose parameters can't be decoded is answered with status 400. Precondition: as for addPage. */
    void addQueryPage(const std::string &path, QueryRenderer renderer);
    /** Adds a page with an empty body: status 200 while the check passes, 503 otherwise. Precondition: called before beginAccept. */
    void addCheck(const std::string &path, CheckFunction check);
    /** Starts accepting connections. Precondition: error() is empty; called once. */
    void beginAccept();
    /** Stops accepting connections. Thread safe. */
    void endAccept();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace hornbeam
