#pragma once

// Limits retries to a fraction of the requests, so that they don't add much load to a failing service.

namespace hornbeam {

/** A token bucket filled by requests and drained by retries. Not thread safe: guarded by the shard that holds it. */
class RetryBudget
{
public:
    /** The bucket starts full. `ratio`: tokens added per request; `burst`: capacity of the bucket. */
    RetryBudget(double ratio, double burst);
    /** Adds `ratio` tokens for a new request. */
    void addRequest();
    /** Consumes one token; returns false when less than one is left. */
    bool tryConsumeRetry();

private:
    double ratio;
    double burst;
    double tokens;
};

} // namespace hornbeam
