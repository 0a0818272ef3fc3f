// Sections: steps | instances | store | targets

#include "steps.h"

namespace hornbeam::soak {

namespace {
constexpr size_t leastTargets = 3;         // of a service that stay in use
constexpr milliseconds entryLapse(2500);   // after a crash, until the store removes the entry
constexpr milliseconds addressReuse(2000); // after a crash, until another service's target has the address
constexpr milliseconds shortAbsence(1000); // of an entry after the store's return
constexpr milliseconds longAbsence(6000);  // of an entry whose writes are lost
constexpr milliseconds storeDelay(300);
constexpr milliseconds sliceStopped(120); // of a slow instance
constexpr milliseconds sliceRunning(40);
constexpr milliseconds
    returnBound(8000); // from the end of its slowness: the minimum time out, the recovery, two probes of the routers and the stability window
constexpr milliseconds returnRecheck(500);
constexpr milliseconds rollGap(700);
constexpr milliseconds stormGap(330);
constexpr int stormChanges = 5;
constexpr uint32_t refusedShare = 3;     // one in so many instances
constexpr milliseconds leaveAfter(8000); // a drained target stays for the drain bound and, at times, for seconds more
}

Steps::Steps(const RunParts &parts) : parts(parts)
{
}

//--- Steps

void Steps::disturb(Disturbance &part, Duration lasts)
{
    part.begin(this->parts.clock.now());
    this->parts.timers.add(lasts, [this, &part] { part.end(this->parts.clock.now()); });
}

void Steps::begin(const Step &step)
{
    if (!isPlanned(step.kind)) {
        this->disturb(this->parts.disturbed.any, step.lasts);
    }
    std::vector<std::unique_ptr<Instance>> &all = this->parts.instances.all;
    Instance &instance = *all[step.subject % all.size()];
    switch (step.kind) {
    case StepKind::RestartInstance:
        this->parts.instances.stop(instance);
        break;
    case StepKind::RollInstances:
        for (size_t i = 0; i < all.size(); ++i) {
            this->parts.timers.add(i * rollGap, [this, &rolled = *all[i]] { this->parts.instances.stop(rolled); });
        }
        break;
    case StepKind::ReloadSettings:
        this->parts.instances.writeSettings(instance);
        if (step.subject % 2 == 0 && instance.process != nullptr && instance.isReady) { // a process that starts has no handler yet
            instance.process->signal(SIGHUP);
        }
        break;
    case StepKind::AddRoute:
        this->parts.operators.addExtraRoute(step.subject % 2 == 0 ? RequestKind::Idempotent : RequestKind::NonIdempotent);
        break;
    case StepKind::DropRoute:
        this->parts.operators.dropRoute(step.subject);
        break;
    case StepKind::ChangeStorm:
        for (int i = 0; i < stormChanges; ++i) {
            this->parts.timers.add(i * stormGap, [this] { this->parts.operators.writeConfiguration(); });
        }
        break;
    case StepKind::OddEntry:
        this->leaveOddEntry(step);
        break;
    case StepKind::MoveRoute:
        this->moveRoute(step.subject);
        break;
    case StepKind::EvacuateZone:
        this->evacuateZone(step);
        break;
    case StepKind::ReplaceTarget:
    case StepKind::CrashTarget:
    case StepKind::FreezeTarget:
    case StepKind::LapseEntry:
    case StepKind::LoseWrites:
        this->beginTargetStep(step);
        break;
    case StepKind::KillInstance:
        this->killInstance(instance);
        break;
    case StepKind::KillHalf:
        for (size_t i = 0; i < all.size(); i += 2) {
            this->killInstance(*all[i]);
        }
        break;
    case StepKind::PauseInstance:
        this->pauseInstance(instance, step.lasts);
        break;
    case StepKind::SlowInstance:
        this->slowInstance(instance, step.lasts);
        break;
    case StepKind::CutLink:
        this->disturb(instance.disturbance, step.lasts);
        instance.isCut = true;
        this->parts.timers.add(step.lasts, [&instance] { instance.isCut = false; });
        break;
    default:
        this->beginStoreStep(step, instance);
        break;
    }
}

// Another writer leaves an unusable entry for a while.
void Steps::leaveOddEntry(const Step &step)
{
    const std::string key = this->parts.operators.addOddEntry(step.subject);
    this->parts.timers.add(step.lasts, [this, key] { this->parts.operators.removeEntry(key); });
}

void Steps::moveRoute(uint32_t subject)
{
    this->parts.probes.move(subject);
    this->parts.operators.writeConfiguration();
}

void Steps::evacuateZone(const Step &step)
{
    const std::string zone = step.subject % 2 == 0 ? "zone-1" : "zone-2";
    this->parts.operators.evacuate(zone);
    this->parts.timers.add(step.lasts, [this, zone] { this->parts.operators.endEvacuation(zone); });
}

//--- Instances

void Steps::killInstance(Instance &instance)
{
    this->disturb(instance.disturbance, seconds(1)); // until the next process reads the store
    this->parts.instances.kill(instance);
}

void Steps::pauseInstance(Instance &instance, Duration lasts)
{
    if (instance.process == nullptr || instance.stoppedAt != TimePoint{} || instance.isKilled) {
        return;
    }
    this->disturb(instance.disturbance, lasts);
    instance.process->signal(SIGSTOP);
    this->parts.timers.add(lasts, [&instance, paused = instance.process.get()] {
        if (instance.process.get() == paused) {
            paused->signal(SIGCONT);
        }
    });
}

// The time limits of the store's changes don't bind the instance meanwhile, but no caller may fail.
void Steps::slowInstance(Instance &instance, Duration lasts)
{
    if (instance.process == nullptr || instance.stoppedAt != TimePoint{} || instance.isKilled) {
        return;
    }
    this->disturb(instance.disturbance, lasts);
    const uint64_t starts = instance.starts;
    const auto signal = [&instance, starts](int number) {
        if (instance.process != nullptr && instance.starts == starts) {
            instance.process->signal(number);
        }
    };
    for (Duration at{ 0 }; at < lasts; at += sliceStopped + sliceRunning) {
        this->parts.timers.add(at, [signal] { signal(SIGSTOP); });
        this->parts.timers.add(at + sliceStopped, [signal] { signal(SIGCONT); });
    }
    this->parts.timers.add(lasts + returnBound, [this, &instance, starts] { this->checkReturned(instance, starts); });
}

// Waits until the instance has been undisturbed for the stability window.
void Steps::checkReturned(Instance &instance, uint64_t starts)
{
    const TimePoint now = this->parts.clock.now();
    const bool isReplaced = instance.process == nullptr || instance.starts != starts || instance.stoppedAt != TimePoint{} || instance.isKilled;
    if (isReplaced || instance.isReady) {
        return;
    }
    if (instance.disturbance.isCalm(now) && this->parts.disturbed.any.isCalm(now)) {
        this->parts.findings.add(now, instance.name + " did not return to the rotation after it was slow");
        return;
    }
    this->parts.timers.add(returnRecheck, [this, &instance, starts] { this->checkReturned(instance, starts); });
}

//--- Store

void Steps::beginStoreStep(const Step &step, Instance &instance)
{
    if (step.kind == StepKind::SilenceStore || step.kind == StepKind::ResetStore) {
        this->disturb(instance.disturbance, step.lasts);
        this->setProxies({ &instance }, step.kind == StepKind::SilenceStore ? ProxyMode::Silent : ProxyMode::Reset, step.lasts);
        return;
    }
    if (step.kind == StepKind::RefuseStore) {
        this->refuseStore(step);
        return;
    }
    this->disturb(this->parts.disturbed.store, step.lasts);
    if (step.kind == StepKind::PauseStore) {
        this->pauseStore(step.lasts);
        return;
    }
    this->setProxies(this->allInstances(), step.kind == StepKind::DelayStore ? ProxyMode::Delay : ProxyMode::Silent, step.lasts);
}

void Steps::pauseStore(Duration lasts)
{
    this->parts.storeProcess.signal(SIGSTOP);
    this->parts.operators.setStorePaused(true);
    this->parts.timers.add(lasts, [this] {
        this->parts.storeProcess.signal(SIGCONT);
        this->parts.operators.setStorePaused(false);
    });
}

// The configuration changes as the store serves them again.
void Steps::refuseStore(const Step &step)
{
    std::vector<Instance *> refused;
    for (size_t i = step.subject % refusedShare; i < this->parts.instances.all.size(); i += refusedShare) {
        refused.push_back(this->parts.instances.all[i].get());
        this->disturb(refused.back()->disturbance, step.lasts);
    }
    this->setProxies(refused, step.subject / refusedShare % 2 == 0 ? ProxyMode::Busy : ProxyMode::Many, step.lasts);
    this->parts.timers.add(step.lasts, [this, subject = step.subject] { this->moveRoute(subject); });
}

std::vector<Instance *> Steps::allInstances() const
{
    std::vector<Instance *> all;
    for (const auto &instance : this->parts.instances.all) {
        all.push_back(instance.get());
    }
    return all;
}

void Steps::setProxies(const std::vector<Instance *> &which, ProxyMode mode, Duration lasts)
{
    for (Instance *instance : which) {
        instance->proxy->setMode(mode, storeDelay);
        this->parts.timers.add(lasts, [instance] { instance->proxy->setMode(ProxyMode::Pass); });
    }
}

//--- Targets

void Steps::beginTargetStep(const Step &step)
{
    const char *service = step.subject % 3 == 0 ? "catalogue" : "booking";
    std::vector<SoakTarget *> usable;
    for (SoakTarget *target : this->parts.targets.living(service)) {
        if (target->isListed && !target->isFrozen && !target->record.isDraining) {
            usable.push_back(target);
        }
    }
    if (usable.size() <= leastTargets) {
        return;
    }
    SoakTarget &target = *usable[step.subject % usable.size()];
    const std::string zone = zoneNameOf(target.record);
    if (step.kind == StepKind::ReplaceTarget) {
        this->replaceTarget(target, zone);
        return;
    }
    if (step.kind == StepKind::FreezeTarget) {
        this->disturb(target.disturbance, step.lasts);
        target.isFrozen = true;
        this->parts.timers.add(step.lasts, [&target] { target.isFrozen = false; });
        return;
    }
    if (step.kind == StepKind::LapseEntry) {
        this->disturb(this->parts.disturbed.store, step.lasts);
        this->setProxies(this->allInstances(), ProxyMode::Reset, step.lasts);
        this->parts.operators.unlist(target, false);
        this->parts.timers.add(step.lasts + shortAbsence, [this, &target] { this->parts.operators.list(target); });
        return;
    }
    if (step.kind == StepKind::LoseWrites) {
        this->parts.operators.unlist(target, false);
        this->parts.timers.add(longAbsence, [this, &target] { this->parts.operators.list(target); });
        return;
    }
    this->crashTarget(target, zone);
}

void Steps::replaceTarget(SoakTarget &target, const std::string &zone)
{
    this->parts.operators.list(this->parts.targets.add(target.record.service, zone, {}));
    this->parts.operators.drain(target, [this, &target] {
        this->parts.timers.add(leaveAfter, [this, &target] {
            this->parts.operators.unlist(target, true);
            this->parts.targets.end(target);
        });
    });
}

void Steps::crashTarget(SoakTarget &target, const std::string &zone)
{
    this->disturb(target.disturbance, entryLapse);
    this->disturb(this->parts.disturbed.any, entryLapse);
    this->parts.targets.end(target);
    this->parts.timers.add(entryLapse, [this, &target] { this->parts.operators.unlist(target, true); });
    this->parts.timers.add(addressReuse, [this, &target] {
        const char *other = target.record.service == "booking" ? "catalogue" : "booking";
        this->parts.operators.list(this->parts.targets.add(other, "zone-1", target.record.address));
    });
    this->parts.timers.add(entryLapse,
                           [this, service = target.record.service, zone] { this->parts.operators.list(this->parts.targets.add(service, zone, {})); });
}

} // namespace hornbeam::soak
