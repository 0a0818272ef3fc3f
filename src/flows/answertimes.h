#pragma once

// How long targets take to answer, as the callers' acknowledgements show it: the time from a request's first packet to the first acknowledgement of
// its answer. Times of one route are compared with each other only, since an acknowledgement may be delayed by the caller.

#include "core/clock.h"
#include "core/histogram.h"
#include "flows/targetdirectory.h"

#include <unordered_map>

namespace hornbeam {

/** Not thread safe: one event loop owns it. Keeps Target::slowness and Target::answers. */
class AnswerTimes
{
public:
    /** A target answered a request of a route's address after `elapsed`. */
    void add(const Endpoint &route, Target &target, Duration elapsed);
    /** The mean of a route's answer times; 0 before the first. */
    Duration meanOf(const Endpoint &route) const;
    /** All answer times. */
    const Histogram &histogram() const;

private:
    std::unordered_map<Endpoint, double> means; // s, of each route, over about `routeSampleWindow` answers
    Histogram times;
};

} // namespace hornbeam
