#pragma once

// Load reports between the members of a zone: each tells the others how many requests it has outstanding at each target, within a byte budget, and only while
// there is load. Reports are kept for a short time, so lost, late or missing ones only make the sums smaller.

#include "balancing/waitingsettings.h"
#include "core/clock.h"
#include "core/types.h"
#include "peer/actions.h"
#include "peer/directory.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace hornbeam {

/** What an instance reports. */
struct OwnLoad
{
    struct Service
    {
        ServiceId service = 0;
        double held = 0;  // requests that the targets process or queue; moving average
        double slots = 0; // the instance's share
    };
    std::vector<TargetLoad> targets; // with a count above 0
    std::vector<Service> services;
};

/** Sum of the reports of other members. */
struct ReportedLoad
{
    struct Service
    {
        double held = 0;    // sum over the reports
        size_t reports = 0; // fresh ones
    };
    std::unordered_map<uint32_t, double> targets; // outstanding requests of other members by routing token
    std::map<ServiceId, Service> services;
    size_t reports = 0; // fresh ones
    double members = 0; // estimate of the members that report, in larger zones more than there are fresh reports

    double outstandingOf(uint32_t token) const;
};

/** Not thread safe: owned by one event loop. */
class LoadReports
{
public:
    /** Precondition: `members` and `clock` outlive this object. */
    LoadReports(const LoadReportSettings &settings, const MemberDirectory &members, const Clock &clock);

    /** Keeps a report of another member of the own zone. */
    void onMessage(const LoadReport &report);
    /** Sends the reports that are due. Call it about every 20 ms. */
    void tick(const OwnLoad &own, Actions &out);
    /** Load reported by the other members, as of the last tick. */
    const ReportedLoad &reported() const;
    /** Whether this instance is sending reports. */
    bool isReporting() const;
    /** Bytes of all sent reports, with headers. */
    uint64_t bytesSent() const;

    /** Upper bound of the bytes of a report in a datagram, with headers and signature. Thread safe. */
    static size_t maxReportBytes(size_t targets, size_t services);

private:
    struct Received
    {
        Incarnation incarnation = 0;
        uint32_t sequence = 0;
        TimePoint at;
        double weight = 1; // members that report less often than the lifetime count for those whose reports are not there
        std::vector<TargetLoad> targets;
        std::vector<ServiceLoadReport> services;
    };

    bool shouldReport(const OwnLoad &own) const;
    void send(const OwnLoad &own, Duration elapsed, Actions &out);
    void summarize(TimePoint now);

    const LoadReportSettings settings;
    const MemberDirectory &members;
    const Clock &clock;
    std::map<MemberId, Received> received;
    ReportedLoad sum;
    bool isChanged = false; // since the last summary
    bool reporting = false;
    uint32_t sequence = 0;
    uint64_t sentBytes = 0;
    MemberId lastRecipient = 0; // 0: none yet
    double due = 0;             // reports to send; less than 1 after a tick
    TimePoint lastTick;
    TimePoint acceptFrom; // until then, received messages may have waited in the socket while the process was paused
    TimePoint nextSummary;
};

} // namespace hornbeam
