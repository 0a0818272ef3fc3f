#pragma once

// Estimates the mean service time of a route's requests from the times between a request and the acknowledgement of its answer.

#include "balancing/waitingsettings.h"

namespace hornbeam {

/** The packet with which a caller acknowledged the beginning of an answer. */
enum class Acknowledgement : uint8_t {
    Alone,       // without payload: delayed if the answer has a single packet
    WithRequest, // with the next request, at any time before the delayed acknowledgement would be due
    WithClosing, // the caller closes the flow as soon as it has the answer
};

/** An answer of a target, as measured from the caller's packets. */
struct AnswerSample
{
    Duration elapsed{ 0 };
    uint32_t bytes = 0;   // acknowledged by the caller's first acknowledgement
    bool isShort = false; // the answer fits into one packet
    Acknowledgement acknowledgement = Acknowledgement::Alone;
};

/** Of one route. Not thread safe: owned by one event loop. */
class ServiceTimes
{
public:
    /** Precondition: `settings` outlives this object. */
    explicit ServiceTimes(const WaitingSettings &settings);

    /** A flow was opened: time from the opening packet to the caller's next packet. */
    void addRoundTrip(Duration elapsed);
    /**
     * Returns false if the answer is probably an error with which the target rejected the request. Such answers don't change the service time. `isQueued`: the
     * service's targets probably hold more requests than they process.
     */
    bool addAnswer(const AnswerSample &answer, bool isQueued);
    /** Mean service time without queueing, in seconds; 0 before the first answer. An upper bound if there has always been a queue. */
    double serviceSeconds() const;
    /** Part of an answer's time that is spent outside the target, in seconds: network and delayed acknowledgement. */
    double overheadSeconds(const AnswerSample &answer) const;
    double roundTripSeconds() const;
    /** Number of answers, including errors. */
    uint32_t answers() const;
    /** Whether most answers fit into one packet. */
    bool hasShortAnswers() const;

private:
    bool isRejection(const AnswerSample &answer, double serviceSeconds) const;
    void closeWindow();

    struct Window
    {
        double seconds = 0; // sum of the service and waiting times
        uint32_t answers = 0;
        double lowest = 0; // of the times of short answers that were acknowledged alone
        double second = 0; // second lowest
        uint32_t alone = 0;
        bool isQueued = false;
    };

    const WaitingSettings &settings;
    uint32_t answerCount = 0;
    double longShare = 0;       // moving average of the share of answers with more than one packet
    double roundTrip = 0;       // seconds; moving average
    double shortestAnswer = 0;  // seconds; moving average of low quantiles of short answers that were acknowledged alone; 0 before the first window
    double typicalBytes = 0;    // of answers that are too slow for an error; moving average
    double meanSeconds = 0;     // service and waiting time; moving average
    double unqueuedSeconds = 0; // moving average of windows without a queue, or lowest mean of a window if there were none; 0 before the first one
    bool hasUnqueued = false;   // there was a window without a queue
    Window window;
};

} // namespace hornbeam
