#pragma once

// A small HTTP server for counters and state dumps. Read only; each path is answered by a function that returns text.

#include "core/types.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

/** Makes the text of a page. Called on a worker; must be thread safe. */
using PageRenderer = std::function<std::string()>;
/** Tells whether a condition holds. Called on a worker; must be thread safe. */
using CheckFunction = std::function<bool()>;

class MetricsServer
{
public:
    /** Binds at once; error() tells whether that failed. */
    MetricsServer(boost::asio::io_context &context, const Endpoint &local);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

    /** Empty when the server is bound, else what failed, with the address. */
    const std::string &error() const;
    /** Adds a page, e.g. "/metrics". Precondition: called before beginAccept. */
    void addPage(const std::string &path, PageRenderer renderer);
    /** Adds a page without text: status 200 while the condition holds, 503 otherwise. Precondition: called before beginAccept. */
    void addCheck(const std::string &path, CheckFunction check);
    /** Starts to answer. Precondition: error() is empty; called once. */
    void beginAccept();
    /** Stops to accept. Thread safe. */
    void endAccept();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace hornbeam
