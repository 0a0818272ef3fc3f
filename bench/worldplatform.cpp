#include "worldplatform.h"

#include <algorithm>

namespace hornbeam::bench {

namespace {

PlatformObject objectOf(const standins::StoredObject &stored)
{
    return { stored.key, stored.version, stored.value, stored.isDeleted };
}

PlatformReply replyOf(PlatformOutcome outcome)
{
    PlatformReply reply;
    reply.outcome = outcome;
    return reply;
}

} // namespace

//--- Platform

WorldPlatform::WorldPlatform(EventQueue &queue, const PlatformTimes &times) : times(times), queue(queue)
{
}

PlatformReply WorldPlatform::get(const std::string &key) const
{
    if (this->isOut) {
        return replyOf(PlatformOutcome::Unavailable);
    }
    const standins::StoredObject *found = this->store.find(key);
    PlatformReply reply = replyOf(found == nullptr ? PlatformOutcome::NotFound : PlatformOutcome::Ok);
    if (found != nullptr) {
        reply.version = found->version;
        reply.objects.push_back(objectOf(*found));
    }
    return reply;
}

PlatformReply WorldPlatform::put(const std::string &key, const std::string &value, const PutCondition &condition)
{
    if (this->beforePut) {
        const std::function<void()> other = std::move(this->beforePut);
        this->beforePut = nullptr;
        other();
    }
    if (this->isOut) {
        return replyOf(PlatformOutcome::Unavailable);
    }
    const bool isBound = condition.kind != PutCondition::Kind::Always && !this->ignoresConditions;
    const auto outcome = this->store.put(key, value, isBound ? &condition.version : nullptr);
    if (outcome == standins::WriteOutcome::Conflict) {
        return replyOf(PlatformOutcome::Conflict);
    }
    this->answerWatches();
    if (this->answersToLose > 0) {
        --this->answersToLose;
        return replyOf(PlatformOutcome::Unknown);
    }
    PlatformReply reply = replyOf(PlatformOutcome::Ok);
    reply.version = this->store.revision();
    return reply;
}

PlatformReply WorldPlatform::list(const std::string &prefix, uint64_t after) const
{
    if (this->isOut) {
        return replyOf(PlatformOutcome::Unavailable);
    }
    PlatformReply reply = replyOf(PlatformOutcome::Ok);
    reply.revision = this->store.revision();
    for (const standins::StoredObject &object : this->store.list(prefix, after, after > 0)) {
        reply.objects.push_back(objectOf(object));
    }
    return reply;
}

PlatformReply WorldPlatform::instances() const
{
    PlatformReply reply = replyOf(this->isOut ? PlatformOutcome::Unavailable : PlatformOutcome::Ok);
    for (const auto &[name, instance] : this->shown) {
        reply.instances.push_back(instance);
    }
    return reply;
}

void WorldPlatform::watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done)
{
    if (this->isOut) {
        done(replyOf(PlatformOutcome::Unavailable));
        return;
    }
    const auto watch = std::make_shared<Watch>(Watch{ prefix, after, std::move(done) });
    this->watches.push_back(watch);
    this->queue.add(timeout, [this, watch] {
        if (std::erase(this->watches, watch) > 0) {
            watch->done(this->list(watch->prefix, watch->after));
        }
    });
    this->answerWatches();
}

void WorldPlatform::answerWatches()
{
    const std::vector<std::shared_ptr<Watch>> waiting = this->watches;
    for (const auto &watch : waiting) {
        const PlatformReply reply = this->list(watch->prefix, watch->after);
        if (!reply.objects.empty() || !reply.isOk()) {
            std::erase(this->watches, watch);
            watch->done(reply);
        }
    }
}

void WorldPlatform::setOut(bool out)
{
    this->isOut = out;
    this->answerWatches();
}

void WorldPlatform::updateInstance(const PlatformInstance &instance, bool isThere, bool atOnce)
{
    const auto apply = [this, instance, isThere] {
        this->shown.erase(instance.name);
        if (isThere) {
            this->shown[instance.name] = instance;
        }
    };
    if (atOnce) {
        apply();
    } else {
        this->queue.add(this->times.instancesLag, apply);
    }
}

//--- Instances' calls

WorldPlatformClient::WorldPlatformClient(WorldPlatform &platform, EventQueue &queue, std::function<bool()> isCut,
                                         std::function<void(std::function<void()>)> resume)
    : platform(platform), queue(queue), isCut(std::move(isCut)), resume(std::move(resume))
{
}

/** The callback that runs once: with the answer, or with a failure when none has come in time. */
PlatformCallback WorldPlatformClient::guard(Duration timeout, PlatformCallback done)
{
    const auto isDone = std::make_shared<bool>(false);
    PlatformCallback once = [this, isDone, done = std::move(done)](const PlatformReply &reply) {
        if (!*isDone) {
            *isDone = true;
            this->resume([done, reply] { done(reply); });
        }
    };
    this->queue.add(timeout, [once] { once(replyOf(PlatformOutcome::Unavailable)); });
    return [this, once](const PlatformReply &reply) {
        this->queue.add(this->platform.times.callDelay / 2 + this->platform.slowness, [this, once, reply] {
            if (!this->isCut()) {
                once(reply);
            }
        });
    };
}

void WorldPlatformClient::call(std::function<PlatformReply()> work, PlatformCallback done)
{
    const PlatformCallback answer = this->guard(this->platform.times.callTimeout, std::move(done));
    this->queue.add(this->platform.times.callDelay / 2, [this, work = std::move(work), answer] {
        if (!this->isCut()) {
            answer(work());
        }
    });
}

void WorldPlatformClient::get(const std::string &key, PlatformCallback done)
{
    this->call([this, key] { return this->platform.get(key); }, std::move(done));
}

void WorldPlatformClient::put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done)
{
    this->call([this, key, value, condition] { return this->platform.put(key, value, condition); }, std::move(done));
}

void WorldPlatformClient::list(const std::string &prefix, PlatformCallback done)
{
    this->call([this, prefix] { return this->platform.list(prefix, 0); }, std::move(done));
}

void WorldPlatformClient::watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done)
{
    const PlatformCallback answer = this->guard(timeout + this->platform.times.callTimeout, std::move(done));
    this->queue.add(this->platform.times.callDelay / 2, [this, prefix, after, timeout, answer] {
        if (!this->isCut()) {
            this->platform.watch(prefix, after, timeout, answer);
        }
    });
}

void WorldPlatformClient::instances(PlatformCallback done)
{
    this->call([this] { return this->platform.instances(); }, std::move(done));
}

//--- Operators' calls

PlatformReply OperatorCalls::get(const std::string &key)
{
    return this->platform.get(key);
}

PlatformReply OperatorCalls::put(const std::string &key, const std::string &value, const PutCondition &condition)
{
    return this->platform.put(key, value, condition);
}

PlatformReply OperatorCalls::list(const std::string &prefix)
{
    return this->platform.list(prefix, 0);
}

PlatformReply OperatorCalls::watch(const std::string &prefix, uint64_t after, Duration)
{
    return this->platform.list(prefix, after);
}

void OperatorCalls::sleep(Duration duration)
{
    this->queue.run(duration);
}

} // namespace hornbeam::bench
