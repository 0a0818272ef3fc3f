#include "apps/eventlog.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace hornbeam {

EventLog::EventLog(int descriptor, const Clock &clock, const EventLogSettings &settings) : descriptor(descriptor), clock(clock), settings(settings)
{
}

bool EventLog::admits(const std::string &event)
{
    const auto [found, isNew] = this->buckets.try_emplace(event);
    Bucket &bucket = found->second;
    const TimePoint now = this->clock.now();
    const double passed = std::chrono::duration<double>(now - bucket.filled).count();
    bucket.tokens = isNew ? this->settings.burst : std::min(this->settings.burst, bucket.tokens + passed * this->settings.linesPerSecond);
    bucket.filled = now;
    if (bucket.tokens < 1 || this->queuedBytes >= this->settings.queueBytes) {
        ++bucket.leftOut;
        ++this->omitted;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void EventLog::add(const std::string &event, const nlohmann::ordered_json &fields)
{
    nlohmann::ordered_json line{ { "time_ms", this->clock.wallMillis() }, { "event", event } };
    Bucket &bucket = this->buckets[event];
    if (bucket.leftOut > 0) {
        line["left_out"] = bucket.leftOut;
        bucket.leftOut = 0;
    }
    line.update(fields);
    this->queue.push_back(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    this->queuedBytes += this->queue.back().size();
}

void EventLog::flush()
{
    while (!this->queue.empty()) {
        pollfd question{ this->descriptor, POLLOUT, 0 };
        if (::poll(&question, 1, 0) <= 0 || (question.revents & POLLOUT) == 0) {
            return; // the reader is slow
        }
        // a pipe that can be written takes PIPE_BUF bytes without blocking
        const std::string &line = this->queue.front();
        const size_t size = std::min<size_t>(line.size() - this->written, PIPE_BUF);
        const ssize_t count = ::write(this->descriptor, line.data() + this->written, size);
        if (count < 0) {
            return; // the reader is gone or the call was interrupted: the queue is bounded
        }
        this->written += static_cast<size_t>(count);
        if (this->written == line.size()) {
            this->queuedBytes -= line.size();
            this->queue.pop_front();
            this->written = 0;
        }
    }
}

uint64_t EventLog::leftOut() const
{
    return this->omitted;
}

} // namespace hornbeam
