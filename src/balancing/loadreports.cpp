#include "balancing/loadreports.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {
constexpr double percent = 100;
constexpr double hundredths = 100;
constexpr double millisPerSecond = 1000;
constexpr double stopShare = 0.8;                             // of the load from which reports are sent, so that they don't start and stop with each request
constexpr Duration summaryInterval = milliseconds(100);       // summing 28 reports takes about 20 us
constexpr Duration pauseThreshold = milliseconds(300);        // between two ticks; messages that were received meanwhile may be old
constexpr Duration drainTime = milliseconds(40);              // for reading the messages that waited in the socket
constexpr size_t maxTargets = 120;                            // of a report, so that it fits into a datagram
constexpr size_t headerBytes = 28 + 9;                        // IP, UDP and signature
constexpr size_t reportBytes = 1 + 2 + 9 + 9 + 5 + 5 + 3 + 3; // CBOR: array, number, sender, incarnation, sequence, period, two array heads
constexpr size_t targetBytes = 1 + 5 + 2;
constexpr size_t serviceBytes = 1 + 5 + 5;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
}

double ReportedLoad::outstandingOf(uint32_t token) const
{
    const auto found = this->targets.find(token);
    return found == this->targets.end() ? 0 : found->second;
}

LoadReports::LoadReports(const LoadReportSettings &settings, const MemberDirectory &members, const Clock &clock)
    : settings(settings), members(members), clock(clock)
{
}

size_t LoadReports::maxReportBytes(size_t targets, size_t services)
{
    return headerBytes + reportBytes + targets * targetBytes + services * serviceBytes;
}

//--- Received reports

void LoadReports::onMessage(const LoadReport &report)
{
    const TimePoint now = this->clock.now();
    const bool mayBeOld = now < this->acceptFrom || (this->lastTick != TimePoint{} && now - this->lastTick > pauseThreshold);
    const MemberRecord self = this->members.self();
    const auto sender = this->members.find(report.sender);
    const bool isAcceptable = sender.has_value() && report.sender != self.id && sender->zone == self.zone && report.incarnation >= sender->incarnation;
    if (mayBeOld || !isAcceptable || this->settings.loadPercent == 0) {
        return;
    }
    Received &kept = this->received[report.sender];
    const bool isNewer = report.incarnation > kept.incarnation
        || (report.incarnation == kept.incarnation && static_cast<int32_t>(report.sequence - kept.sequence) > 0); // the number wraps around
    if (!isNewer) {
        return;
    }
    const double period = toSeconds(milliseconds(report.periodMs));
    kept = { report.incarnation, report.sequence, now, std::max(1.0, period / toSeconds(this->settings.lifetime)), report.targets, report.services };
    this->isChanged = true;
}

void LoadReports::summarize(TimePoint now)
{
    const size_t removed = std::erase_if(this->received, [&](const auto &entry) { return now - entry.second.at > this->settings.lifetime; });
    if (removed == 0 && !this->isChanged) {
        return;
    }
    this->isChanged = false;
    this->sum = {};
    this->sum.reports = this->received.size();
    for (const auto &[member, report] : this->received) {
        this->sum.members += report.weight;
        for (const TargetLoad &target : report.targets) {
            this->sum.targets[target.token] += report.weight * target.outstanding;
        }
        for (const ServiceLoadReport &service : report.services) {
            ReportedLoad::Service &total = this->sum.services[service.service];
            total.held += service.heldHundredths / hundredths;
            ++total.reports;
        }
    }
}

const ReportedLoad &LoadReports::reported() const
{
    return this->sum;
}

//--- Sent reports

void LoadReports::tick(const OwnLoad &own, Actions &out)
{
    const TimePoint now = this->clock.now();
    const Duration elapsed = this->lastTick == TimePoint{} ? Duration{ 0 } : now - this->lastTick;
    if (elapsed > pauseThreshold) {
        this->acceptFrom = now + drainTime;
    }
    this->lastTick = now;
    if (this->settings.loadPercent == 0) {
        return;
    }
    if (now >= this->nextSummary) {
        this->nextSummary = now + summaryInterval;
        this->summarize(now);
    }
    this->reporting = this->shouldReport(own);
    if (this->reporting) {
        this->send(own, elapsed, out);
    } else {
        this->due = 0;
    }
}

bool LoadReports::isReporting() const
{
    return this->reporting;
}

uint64_t LoadReports::bytesSent() const
{
    return this->sentBytes;
}

// The mean of the own load and of the reported ones, so that members start and stop together, although each sees another sample of the requests.
bool LoadReports::shouldReport(const OwnLoad &own) const
{
    const double share = this->settings.loadPercent / percent * (this->reporting ? stopShare : 1);
    return std::any_of(own.services.begin(), own.services.end(), [&](const OwnLoad::Service &service) {
        const auto found = this->sum.services.find(service.service);
        const ReportedLoad::Service others = found == this->sum.services.end() ? ReportedLoad::Service{} : found->second;
        const double mean = (service.held + others.held) / static_cast<double>(1 + others.reports);
        return service.slots > 0 && std::max(mean, others.reports == 0 ? service.held : 0) > share * service.slots;
    });
}

// Members get reports in turn, evenly over the period, in the order of identifiers that begins behind the own one.
void LoadReports::send(const OwnLoad &own, Duration elapsed, Actions &out)
{
    const MemberRecord self = this->members.self();
    std::vector<MemberId> others;
    for (const MemberRecord &member : this->members.eligibleIn(self.zone)) {
        if (member.id != self.id) {
            others.push_back(member.id);
        }
    }
    if (others.empty()) {
        return;
    }
    const size_t targetCount = std::min(maxTargets, own.targets.size());
    const size_t bytes = maxReportBytes(targetCount, own.services.size());
    const double budgetPeriod = static_cast<double>(others.size() * bytes) / this->settings.bytesPerSecond;
    const double period = std::max(toSeconds(this->settings.interval), budgetPeriod);
    this->due += std::min(toSeconds(elapsed), toSeconds(pauseThreshold)) * static_cast<double>(others.size()) / period;
    if (this->due < 1) {
        return;
    }
    LoadReport report;
    report.sender = self.id;
    report.incarnation = self.incarnation;
    report.periodMs = static_cast<uint32_t>(period * millisPerSecond);
    report.targets.assign(own.targets.begin(), own.targets.begin() + static_cast<std::ptrdiff_t>(targetCount));
    for (const OwnLoad::Service &service : own.services) {
        report.services.push_back({ service.service, static_cast<uint32_t>(std::lround(service.held * hundredths)) });
    }
    for (; this->due >= 1; this->due -= 1) {
        const auto next = std::upper_bound(others.begin(), others.end(), this->lastRecipient == 0 ? self.id : this->lastRecipient);
        this->lastRecipient = next == others.end() ? others.front() : *next;
        report.sequence = ++this->sequence;
        out.sendToPeer(this->lastRecipient, report);
        this->sentBytes += bytes;
    }
}

} // namespace hornbeam
