#pragma once

// A target process with slots and a queue, and what it was sent.

#include "flows/targetdirectory.h"

#include <algorithm>
#include <deque>
#include <functional>

namespace hornbeam {
inline namespace target_model {

struct TargetModel
{
    static constexpr uint32_t slots = 2;
    static constexpr size_t queueLimit = 8;

    struct Results
    {
        size_t openings = 0;       // opening packets
        size_t mostOpenings = 0;   // in any second
        size_t processed = 0;      // requests
        double waitingSeconds = 0; // of these in the queue
    };

    void addOpening(TimePoint now)
    {
        this->lastOpenings.push_back(now);
        while (now - this->lastOpenings.front() >= seconds(1)) {
            this->lastOpenings.pop_front();
        }
        ++this->results.openings;
        this->results.mostOpenings = std::max(this->results.mostOpenings, this->lastOpenings.size());
    }

    TargetRecord record;
    size_t zone = 0;
    bool isListed = true;
    size_t busy = 0;
    std::deque<std::function<void()>> queue;
    std::deque<TimePoint> lastOpenings; // of a second
    Results results;
};

} // namespace target_model
} // namespace hornbeam
