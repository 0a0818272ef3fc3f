#pragma once

#include "store/platformapi.h"

namespace hornbeam {

/** Synchronous store calls of hornbeamctl. Implemented by BlockingPlatform and by fakes in tests and benches. Not thread safe. */
class BlockingPlatformApi
{
public:
    virtual ~BlockingPlatformApi() = default;
    virtual PlatformReply get(const std::string &key) = 0;
    virtual PlatformReply put(const std::string &key, const std::string &value, const PutCondition &condition) = 0;
    virtual PlatformReply list(const std::string &prefix) = 0;
    virtual PlatformReply watch(const std::string &prefix, uint64_t after, Duration timeout) = 0;
    /** Blocks for `duration` between two attempts. */
    virtual void sleep(Duration duration) = 0;
};

} // namespace hornbeam
