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
    TokenBucket &bucket = found->second;
    const TimePoint now = this->clock.now();
    const double elapsed = std::chrono::duration<double>(now - bucket.lastRefill).count();
    bucket.tokens = isNew ? this->settings.burst : std::min(this->settings.burst, bucket.tokens + elapsed * this->settings.linesPerSecond);
    bucket.lastRefill = now;
    if (bucket.tokens < 1 || this->queuedBytes >= this->settings.queueBytes) {
        ++bucket.droppedSinceLast;
        ++this->droppedTotal;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void EventLog::add(const std::string &event, const nlohmann::ordered_json &fields)
{
    nlohmann::ordered_json line{ { "time_ms", this->clock.wallMillis() }, { "event", event } };
    TokenBucket &bucket = this->buckets[event];
    if (bucket.droppedSinceLast > 0) {
        line["left_out"] = bucket.droppedSinceLast;
        bucket.droppedSinceLast = 0;
    }
    line.update(fields);
    this->queue.push_back(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    this->queuedBytes += this->queue.back().size();
}

void EventLog::flush()
{
    while (!this->queue.empty()) {
        pollfd pollRequest{ this->descriptor, POLLOUT, 0 };
        if (::poll(&pollRequest, 1, 0) <= 0 || (pollRequest.revents & POLLOUT) == 0) {
            return; // not writable without blocking; retried by the next flush
        }
        // a pipe that polls as writable accepts PIPE_BUF bytes without blocking
        const std::string &line = this->queue.front();
        const size_t size = std::min<size_t>(line.size() - this->writtenBytes, PIPE_BUF);
        const ssize_t count = ::write(this->descriptor, line.data() + this->writtenBytes, size);
        if (count < 0) {
            return; // the reader has closed the pipe or the call was interrupted; lines stay in the bounded queue
        }
        this->writtenBytes += static_cast<size_t>(count);
        if (this->writtenBytes == line.size()) {
            this->queuedBytes -= line.size();
            this->queue.pop_front();
            this->writtenBytes = 0;
        }
    }
}

uint64_t EventLog::droppedLines() const
{
    return this->droppedTotal;
}

} // namespace hornbeam
