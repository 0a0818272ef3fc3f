#pragma once

// The platform's object API over HTTP/1.1, one connection for each call.

#include "core/counters.h"
#include "platform/platformapi.h"

namespace boost::asio {
class io_context;
}

namespace hornbeam {

struct PlatformSettings
{
    Endpoint endpoint;                 // of the platform's API
    Duration callTimeout = seconds(5); // for a whole call; a watch may take its own timeout in addition
    size_t maxAnswerBytes = 64U << 20; // of a list of all tables
};

/** Not thread safe: one event loop owns it, and it outlives its calls. Calls that wait when the loop ends are dropped. */
class PlatformClient final : public PlatformApi
{
public:
    /** Precondition: the context and the counters outlive the client. */
    PlatformClient(boost::asio::io_context &context, Counters &counters, const PlatformSettings &settings);

    void get(const std::string &key, PlatformCallback done) override;
    void put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done) override;
    void list(const std::string &prefix, PlatformCallback done) override;
    void watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done) override;
    void instances(PlatformCallback done) override;

private:
    boost::asio::io_context &context;
    Counters &counters;
    const PlatformSettings settings;
};

} // namespace hornbeam
