#pragma once

// Connects the decision of an overloaded instance to leave the rotation with its measurements, the membership, the log and the pages.

#include "apps/settings.h"
#include "membership/membership.h"
#include "rotation/instancerotation.h"
#include "rotation/rotationpolicy.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace hornbeam {

/** Not thread safe: owned by one event loop. */
class OverloadRotation
{
public:
    using LogFunction = std::function<void(const std::string &event, const nlohmann::ordered_json &fields)>;

    /** Precondition: the clock and the counters outlive this object. */
    OverloadRotation(const FlowServiceSettings &flows, const MemberRecord &self, const Clock &clock, Counters &counters, LogFunction logEvent);

    /** Adds the measurements of a tick; about every 20 ms. */
    void addSample(const LoadSample &sample);
    void onMessage(const RotationReport &report);
    /** Takes the round trips of the membership's probes, and updates the decision. Call about every 50 ms, after RotationPolicy::update. */
    void update(Membership &membership, const RotationPolicy &policy, Actions &out);

    /** Whether this instance should be out of rotation; never if the settings exclude it. */
    bool isOut() const;
    /** Gauges in the Prometheus text format. */
    std::string gauges() const;
    /** Phase, measurements and times of this instance. */
    nlohmann::ordered_json describeSelf() const;
    /** The members known to be overloaded or out. */
    nlohmann::ordered_json describeMembers() const;

private:
    void logChange(RotationEvent event, const OverloadVerdict &verdict, Duration timeInPhase);

    const Clock &clock;
    Counters &counters;
    const LogFunction logEvent;
    const bool isEnabled;
    OverloadDetector detector;
    InstanceRotation rotation;
    OverloadVerdict lastVerdict;
    TimePoint answersLateAt; // last verdict with late answers; TimePoint{}: never
};

} // namespace hornbeam
