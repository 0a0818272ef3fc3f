#include "balancing/servicetimes.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr uint32_t windowAnswers = 32;      // their mean is within a fifth of the true one
constexpr double unqueuedDrift = 1.002;     // per window, so that a route whose requests become heavier is measured anew within minutes
constexpr double minServiceSeconds = 0.001; // resolution of the measurement
constexpr double rejectionShare = 0.5;      // an error is smaller and faster than this share of the usual answer
constexpr double shareSamples = 64;         // of the moving averages
constexpr double sampleCount = 16;
constexpr double windowCount = 4;
constexpr double mostAnswers = 0.9;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void average(double &mean, double sample, double samples)
{
    mean = mean == 0 ? sample : mean + (sample - mean) / samples;
}
}

ServiceTimes::ServiceTimes(const WaitingSettings &settings) : settings(settings)
{
}

void ServiceTimes::addRoundTrip(Duration elapsed)
{
    average(this->roundTrip, toSeconds(elapsed), sampleCount);
}

bool ServiceTimes::addAnswer(const AnswerSample &answer, bool isQueued)
{
    ++this->answerCount;
    this->longShare += ((answer.isShort ? 0.0 : 1.0) - this->longShare) / shareSamples;
    const double elapsed = toSeconds(answer.elapsed);
    if (answer.isShort && answer.acknowledgement == Acknowledgement::Alone) {
        Window &low = this->window;
        const bool isLowest = low.alone == 0 || elapsed < low.lowest;
        low.second = isLowest ? low.lowest : (low.alone == 1 ? elapsed : std::min(low.second, elapsed));
        low.lowest = isLowest ? elapsed : low.lowest;
        ++low.alone;
    }
    const double inTarget = std::max(0.0, elapsed - this->overheadSeconds(answer));
    if (this->isRejection(answer, inTarget)) {
        return false;
    }
    if (inTarget > this->meanSeconds) {
        average(this->typicalBytes, answer.bytes, sampleCount);
    }
    average(this->meanSeconds, inTarget, windowAnswers);
    if (answer.isShort && answer.acknowledgement == Acknowledgement::WithRequest) {
        return true; // the delay of its acknowledgement is not known
    }
    this->window.seconds += inTarget;
    this->window.isQueued = this->window.isQueued || isQueued;
    if (++this->window.answers == windowAnswers) {
        this->closeWindow();
    }
    return true;
}

// Rejections come from full queues, when other answers are slow: they are much smaller and faster than the answers that are slower than the average.
bool ServiceTimes::isRejection(const AnswerSample &answer, double inTarget) const
{
    return answer.isShort && answer.bytes < rejectionShare * this->typicalBytes && inTarget < rejectionShare * this->meanSeconds;
}

void ServiceTimes::closeWindow()
{
    const double mean = std::max(minServiceSeconds, this->window.seconds / this->window.answers);
    if (this->window.isQueued) {
        this->unqueuedSeconds = this->unqueuedSeconds == 0 ? mean : std::min(this->unqueuedSeconds * unqueuedDrift, mean);
    } else {
        this->unqueuedSeconds = this->hasUnqueued ? this->unqueuedSeconds : mean; // replaces a value that included queues
        average(this->unqueuedSeconds, mean, windowCount);
        this->hasUnqueued = true;
    }
    if (this->window.alone > 2) {
        average(this->shortestAnswer, this->window.second, windowCount);
    }
    this->window = {};
}

double ServiceTimes::serviceSeconds() const
{
    return this->unqueuedSeconds > 0 ? this->unqueuedSeconds : this->meanSeconds;
}

// A caller that does not delay its acknowledgements has answers that are shorter than the usual delay.
double ServiceTimes::overheadSeconds(const AnswerSample &answer) const
{
    const double delay = toSeconds(this->settings.ackDelay);
    if (!answer.isShort || answer.acknowledgement == Acknowledgement::WithClosing) {
        return this->roundTrip;
    }
    const double shortest = this->shortestAnswer > 0 ? this->shortestAnswer : this->window.lowest;
    const double delayed = shortest > 0 ? std::min(this->roundTrip + delay, shortest) : this->roundTrip + delay;
    return answer.acknowledgement == Acknowledgement::Alone ? delayed : std::min(this->roundTrip + delay / 2, delayed);
}

double ServiceTimes::roundTripSeconds() const
{
    return this->roundTrip;
}

uint32_t ServiceTimes::answers() const
{
    return this->answerCount;
}

bool ServiceTimes::hasShortAnswers() const
{
    return this->longShare < 1 - mostAnswers;
}

} // namespace hornbeam
