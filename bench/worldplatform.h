#pragma once

// The platform's object API on paused time: versioned objects, conditional writes, watches, a list of instances that lags, and its faults.

#include "eventqueue.h"
#include "platform/blockingplatform.h"
#include "platformstore.h"
#include "store/platformapi.h"

#include <memory>

namespace hornbeam::bench {

struct PlatformTimes
{
    Duration callDelay = milliseconds(5);       // there and back
    Duration callTimeout = seconds(3);          // after which a client gives up
    Duration instancesLag = milliseconds(5000); // of the list of instances
};

/** Not thread safe. */
class WorldPlatform
{
public:
    WorldPlatform(EventQueue &queue, const PlatformTimes &times);

    bool isOut = false;                   // every call fails
    Duration slowness = Duration::zero(); // added to each call
    uint32_t answersToLose = 0;           // of the next writes, which take effect
    bool ignoresConditions = false;       // a store without conditional writes
    std::function<void()> beforePut;      // runs once, between an operator's read and write

    PlatformReply get(const std::string &key) const;
    PlatformReply put(const std::string &key, const std::string &value, const PutCondition &condition);
    PlatformReply list(const std::string &prefix, uint64_t after) const;
    PlatformReply instances() const;

    /** Calls `done` when an object under the prefix has a version above `after`, or at the end of the timeout. */
    void watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done);
    /** Begins or ends an outage; waiting watches fail. */
    void setOut(bool out);
    /** Shows or hides an instance in the list, after the lag unless `atOnce`. */
    void updateInstance(const PlatformInstance &instance, bool isThere, bool atOnce);

    const PlatformTimes times;

private:
    struct Watch
    {
        std::string prefix;
        uint64_t after = 0;
        PlatformCallback done;
    };
    void answerWatches();

    EventQueue &queue;
    standins::PlatformStore store;
    std::vector<std::shared_ptr<Watch>> watches;
    std::map<std::string, PlatformInstance> shown;
};

/** One instance's way to the platform. Not thread safe. */
class WorldPlatformClient final : public PlatformApi
{
public:
    /** `isCut` tells whether nothing passes now; `resume` runs a callback in the process, or never when it has ended. */
    WorldPlatformClient(WorldPlatform &platform, EventQueue &queue, std::function<bool()> isCut, std::function<void(std::function<void()>)> resume);

    void get(const std::string &key, PlatformCallback done) override;
    void put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done) override;
    void list(const std::string &prefix, PlatformCallback done) override;
    void watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done) override;
    void instances(PlatformCallback done) override;

private:
    PlatformCallback guard(Duration timeout, PlatformCallback done);
    void call(std::function<PlatformReply()> work, PlatformCallback done);

    WorldPlatform &platform;
    EventQueue &queue;
    std::function<bool()> isCut;
    std::function<void(std::function<void()>)> resume;
};

/** An operator's way to the platform, for the real edit session. Its pauses let the world go on. Not thread safe. */
class OperatorCalls final : public BlockingPlatformApi
{
public:
    OperatorCalls(WorldPlatform &platform, EventQueue &queue) : platform(platform), queue(queue)
    {
    }
    PlatformReply get(const std::string &key) override;
    PlatformReply put(const std::string &key, const std::string &value, const PutCondition &condition) override;
    PlatformReply list(const std::string &prefix) override;
    PlatformReply watch(const std::string &prefix, uint64_t after, Duration timeout) override;
    void sleep(Duration duration) override;

private:
    WorldPlatform &platform;
    EventQueue &queue;
};

} // namespace hornbeam::bench
