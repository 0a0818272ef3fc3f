#pragma once

// Keeps retries to a share of the requests, so that a service in trouble is not loaded further by them.

namespace hornbeam {

/** A token bucket that requests fill and retries empty. Not thread safe: guarded by the shard that holds it. */
class RetryBudget
{
public:
    /** Starts full. `ratio`: retries for each request; `burst`: retries that may be saved up. */
    RetryBudget(double ratio, double burst);
    /** A new request arrived. */
    void addRequest();
    /** Whether one more retry may be made; it is then spent. */
    bool tryConsumeRetry();

private:
    double ratio;
    double burst;
    double tokens;
};

} // namespace hornbeam
