#pragma once

// Measures target response times passively, from the callers' packets: the time from the first packet of a request to the caller's first acknowledgement
// of the answer. Times are only compared within a route, because callers may delay acknowledgements.

#include "core/clock.h"
#include "core/histogram.h"
#include "flows/targetdirectory.h"

#include <unordered_map>

namespace hornbeam {

/** Updates Target::slowness and Target::answers. Not thread safe: owned by one event loop. */
class AnswerTimes
{
public:
    /** Records that a target answered a request to the route's address after `elapsed`. */
    void add(const Endpoint &route, Target &target, Duration elapsed);
    /** Moving average of a route's answer times; 0 before the first answer. */
    Duration meanOf(const Endpoint &route) const;
    /** Histogram of the answer times of all routes. */
    const Histogram &histogram() const;

private:
    std::unordered_map<Endpoint, double> means; // seconds; moving average per route over about `routeSampleWindow` answers
    Histogram times;
};

} // namespace hornbeam
