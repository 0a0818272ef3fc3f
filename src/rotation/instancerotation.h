#pragma once

// Decides whether this instance leaves the routers' rotation because it is overloaded, and when it returns. RotationPolicy decides the same for a whole zone.
//
// Members of a zone report to each other that they are overloaded or out. Each decides by these reports, its own measurements and the membership; there is no
// coordinator. An instance leaves after it has reported its overload for `agreementDelay`, if the limits of the zone have room for it and for every member that
// is worse. If more than the limit are out nevertheless, because reports were lost, the least overloaded of them return.
//
// Sections: inputs | rotation

#include "peer/actions.h"
#include "rotation/overloaddetector.h"

#include <map>
#include <vector>

namespace hornbeam {

//--- Inputs

/** The instance's view of its zone. */
struct RotationZone
{
    std::vector<MemberRecord> members; // all known, also of other zones; including this instance
    uint32_t counted = 0;              // instances of the own zone that the routers list, including this one
    bool isImpaired = false;           // RotationPolicy considers the zone impaired
    bool areAnswersLate = false;       // answers to this instance's probes have been late recently, so that it suspects members that live
};

enum class RotationEvent : uint8_t {
    None,
    Overloaded, // reported to members
    Recovered,  // without having left the rotation
    Left,
    Returned, // recovered
    Recalled, // returned because fewer instances may be out
    Count,
};

/** The name used in logs and pages. Thread safe. */
std::string_view nameOf(RotationPhase phase);

//--- Rotation

/** Not thread safe: owned by one event loop. */
class InstanceRotation
{
public:
    /** The last report of a member. */
    struct Report
    {
        RotationReport report;
        TimePoint receivedAt;
    };

    InstanceRotation(const OverloadSettings &settings, const MemberRecord &self, TimePoint startedAt);

    void onMessage(const RotationReport &report, TimePoint now);
    /** Records an answer of a member to a probe of this instance. While answers are late, the member does not count as lost until a second later. */
    void addAnswer(MemberId member, TimePoint now);
    /** Updates the decision and appends due reports to the members. Call about every 50 ms. `isRecovered`: the measurements show that the link works. */
    RotationEvent update(const RotationZone &zone, const OverloadVerdict &verdict, bool isRecovered, TimePoint now, Actions &out);

    RotationPhase phase() const;
    /** Whether this instance should be out of rotation. */
    bool isOut() const;
    /** Beginning of the phase. */
    TimePoint phaseSince() const;
    /** Minimum time out of rotation if this instance left now, or of the current absence. */
    Duration minTimeOut() const;
    /** The members' valid reports, by sender; without those that are ready. */
    std::map<MemberId, RotationReport> memberReports(TimePoint now) const;

private:
    struct Counts
    {
        uint32_t alive = 0;      // in the own zone, including those out of rotation
        uint32_t overloaded = 0; // of them: in rotation and overloaded
        uint32_t out = 0;        // of them: out of rotation
        uint32_t worse = 0;      // of them: in the same phase as this instance and more overloaded
        uint32_t allowedOut = 0;
        bool isSelfAlive = false; // neither stopping nor stopped

        // The other members could not take over the callers.
        bool isZoneOverloaded() const
        {
            return 2 * (this->overloaded + this->out) > this->alive;
        }
    };

    Counts count(const RotationZone &zone, TimePoint now) const;
    RotationEvent decide(const Counts &counts, const OverloadVerdict &verdict, bool isRecovered, TimePoint now);
    RotationEvent decideOverloaded(const Counts &counts, const OverloadVerdict &verdict, TimePoint now);
    RotationEvent decideOut(const Counts &counts, bool isRecovered, TimePoint now);
    void enter(RotationPhase next, TimePoint now);
    void sendReports(const RotationZone &zone, TimePoint now, Actions &out);
    bool isAlive(const RotationZone &zone, const MemberRecord &member, TimePoint now) const;
    bool isWorse(const RotationReport &report) const;
    const RotationReport *validReport(const MemberRecord &member, TimePoint now) const;

    const OverloadSettings settings;
    const MemberId self;
    const ZoneId ownZone;
    std::map<MemberId, Report> reports;
    std::map<MemberId, TimePoint> answers; // last answer of members to probes
    RotationPhase current = RotationPhase::Ready;
    TimePoint since;        // beginning of the phase
    TimePoint mayLeaveFrom; // end of the minimum time in rotation
    TimePoint returnedAt;   // TimePoint{}: never out since the start
    TimePoint calmSince;    // no signal of overload since; TimePoint{} while there is one
    TimePoint excessSince;  // too many are out since; TimePoint{} while not
    TimePoint nextReportAt;
    Duration interval{ 0 };     // between reports, in this size of the zone
    uint32_t changeReports = 0; // reports of the current phase that are still to be sent soon after each other
    uint32_t failedReturns = 0;
    uint32_t sequence = 0;
    uint32_t reportedDelayMs = 0; // as in the last report, so that members and this instance compare the same values
};

} // namespace hornbeam
