#include "batch/host_losses.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace plantainfork::batch
{

namespace
{

/** Upper bound on the probability of a loss: a host that is used by nobody can't show that it works again. */
constexpr double MaxProbability = 0.9;
/** Losses of more than one in this many hosts within `EventTime` are one event, which says nothing about an individual host. */
constexpr std::size_t HostsPerEventHost = 4;
constexpr std::chrono::milliseconds EventTime{1000};
constexpr std::chrono::milliseconds SlotTime{100};
constexpr std::int64_t SlotsPerEvent = EventTime / SlotTime;
/** Units that must have failed on a host before their failures count: a single one may be at fault itself. */
constexpr std::size_t MinFailedUnits = 2;
/** Runs that must have been done elsewhere recently: where nothing succeeds, the hosts are not at fault. */
constexpr double MinSuccesses = 1.0;
/** What a failure counts after a run was done on its host, compared to before. */
constexpr double WeightAfterSuccess = 0.5;
/** Losses from which a host is doubtful, and below which it no longer is: one that is up to one half-life old, and twice as old. */
constexpr double DoubtfulLosses = 0.5;
constexpr double TrustedLosses = 0.25;
/** A loss is forgotten after this many half-lives, when it counts less than a hundredth. */
constexpr int HalfLivesKept = 7;
/** Losses that are kept of a host. More than these would not raise the probability noticeably. */
constexpr std::size_t MaxLosses = 16;

std::int64_t slotOf(runtime::Instant at)
{
    return at.time_since_epoch() / SlotTime;
}

} // namespace

HostLosses::HostLosses(std::chrono::seconds halfLife)
    : m_halfLife(halfLife)
{
}

double HostLosses::decay(Duration age) const
{
    return std::exp2(-std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(m_halfLife)));
}

void HostLosses::add(DecayedCount &count, Instant at) const
{
    count.value = valueAt(count, at) + 1.0;
    count.at = std::max(count.at, at);
}

double HostLosses::valueAt(const DecayedCount &count, Instant now) const
{
    return count.value == 0 ? 0 : count.value * decay(now - count.at);
}

std::int64_t HostLosses::addToSlot(const Record &record, Instant at, std::size_t hosts)
{
    const std::int64_t slot = slotOf(at);
    const auto known = std::find_if(record.losses.begin(), record.losses.end(), [&](const Loss &loss) {
        return std::abs(loss.slot - slot) < SlotsPerEvent;
    });
    if (known != record.losses.end()) {
        return known->slot;
    }
    ++m_slots[slot].hosts;
    for (std::int64_t first = slot - SlotsPerEvent + 1; first <= slot; ++first) {
        const auto begin = m_slots.lower_bound(first);
        const auto end = m_slots.lower_bound(first + SlotsPerEvent);
        std::size_t hit = 0;
        for (auto it = begin; it != end; ++it) {
            hit += it->second.hosts;
        }
        // In a small fleet, a single host may be more than that part of it.
        for (auto it = begin; it != end && hit > 1 && hit * HostsPerEventHost > hosts; ++it) {
            it->second.isOfManyHosts = true;
        }
    }
    return slot;
}

HostLosses::Loss &HostLosses::lossAt(Record &record, Instant at, bool isFailure, std::size_t hosts)
{
    const std::int64_t slot = addToSlot(record, at, hosts);
    record.changedAt = std::max(record.changedAt, at);
    const auto known = std::find_if(record.losses.begin(), record.losses.end(), [&](const Loss &loss) {
        return !isFailure && !loss.isFailure && loss.slot == slot;
    });
    if (known != record.losses.end()) {
        return *known;
    }
    if (record.losses.size() == MaxLosses) {
        record.losses.erase(record.losses.begin());
    }
    Loss &loss = record.losses.emplace_back();
    loss.at = at;
    loss.slot = slot;
    loss.isFailure = isFailure;
    return loss;
}

void HostLosses::noteUnit(const TaskId &unit, const HostId &host, Instant at)
{
    FailedUnit &known = m_units.try_emplace(unit, FailedUnit{host, false, at}).first->second;
    known.hasFailedElsewhere = known.hasFailedElsewhere || known.host != host;
    known.at = std::max(known.at, at);
}

void HostLosses::noteLoss(const HostId &host, const std::vector<TaskId> &suspects, std::size_t hosts, Instant at)
{
    if (!isOn()) {
        return;
    }
    Loss &loss = lossAt(m_records[host], at, false, hosts);
    for (const auto &unit : suspects) {
        noteUnit(unit, host, at);
        loss.units.push_back(unit);
    }
}

void HostLosses::noteFailure(const HostId &host, const TaskId &unit, std::size_t hosts, Instant at)
{
    if (!isOn()) {
        return;
    }
    noteUnit(unit, host, at);
    Record &record = m_records[host];
    // Repeated failures of a unit count once.
    const auto known = std::find_if(record.losses.begin(), record.losses.end(), [&](const Loss &loss) {
        return loss.isFailure && loss.units.front() == unit;
    });
    if (known != record.losses.end()) {
        return;
    }
    lossAt(record, at, true, hosts).units.push_back(unit);
}

void HostLosses::noteSuccess(const HostId &host, Instant at)
{
    if (!isOn()) {
        return;
    }
    add(m_successes, at);
    const auto found = m_records.find(host);
    if (found == m_records.end()) {
        return;
    }
    add(found->second.successes, at);
    for (auto &loss : found->second.losses) {
        loss.weight *= loss.isFailure ? WeightAfterSuccess : 1.0;
    }
}

bool HostLosses::isOfManyHosts(const Loss &loss) const
{
    const auto slot = m_slots.find(loss.slot);
    return slot != m_slots.end() && slot->second.isOfManyHosts;
}

bool HostLosses::isCounted(const Loss &loss) const
{
    return !isOfManyHosts(loss) && std::none_of(loss.units.begin(), loss.units.end(), [&](const TaskId &unit) {
        const auto known = m_units.find(unit);
        return known != m_units.end() && known->second.hasFailedElsewhere;
    });
}

double HostLosses::countedLosses(const Record &record, Instant now) const
{
    double losses = 0;
    double failures = 0;
    std::size_t failedUnits = 0;
    for (const auto &loss : record.losses) {
        if (!isCounted(loss)) {
            continue;
        }
        (loss.isFailure ? failures : losses) += loss.weight * decay(now - loss.at);
        failedUnits += loss.isFailure ? 1 : 0;
    }
    const bool hasSuccesses = valueAt(m_successes, now) - valueAt(record.successes, now) >= MinSuccesses;
    return losses + (failedUnits >= MinFailedUnits && hasSuccesses ? failures : 0.0);
}

std::map<HostId, double> HostLosses::lossRates(Instant now) const
{
    std::map<HostId, double> rates;
    for (const auto &[host, record] : m_records) {
        // Events at a constant rate add up, decayed, to that rate times the half-life divided by the logarithm of 2.
        const double rate = countedLosses(record, now) * std::numbers::ln2 / std::chrono::duration<double>(m_halfLife).count();
        if (rate > 0) {
            rates.emplace(host, rate);
        }
    }
    return rates;
}

double HostLosses::probability(double lossRate, Duration runTime)
{
    return std::clamp(1.0 - std::exp(-lossRate * std::chrono::duration<double>(runTime).count()), 0.0, MaxProbability);
}

double HostLosses::probability(const HostId &host, Duration runTime, Instant now) const
{
    const auto rates = lossRates(now);
    const auto found = rates.find(host);
    return found != rates.end() ? probability(found->second, runTime) : 0.0;
}

std::vector<HostLosses::Change> HostLosses::update(Instant now)
{
    std::vector<Change> changes;
    if (!isOn()) {
        return changes;
    }
    const Instant oldest = now - HalfLivesKept * m_halfLife;
    m_doubtfulHosts = 0;
    for (auto &[host, record] : m_records) {
        std::erase_if(record.losses, [&](const Loss &loss) {
            return loss.at < oldest || (now - loss.at >= 2 * EventTime && isOfManyHosts(loss));
        });
        const double losses = countedLosses(record, now);
        // More hosts may follow within the time of one event, of which none is doubtful.
        const bool isSettled = now - record.changedAt >= EventTime;
        const bool isDoubtful = record.isDoubtful ? losses >= TrustedLosses : isSettled && losses >= DoubtfulLosses;
        if (isDoubtful != record.isDoubtful) {
            record.isDoubtful = isDoubtful;
            changes.push_back({host, isDoubtful, losses});
        }
        m_doubtfulHosts += isDoubtful ? 1 : 0;
    }
    std::erase_if(m_records, [](const auto &entry) {
        return entry.second.losses.empty();
    });
    std::erase_if(m_units, [&](const auto &entry) {
        return entry.second.at < oldest;
    });
    m_slots.erase(m_slots.begin(), m_slots.lower_bound(slotOf(oldest) - SlotsPerEvent));
    return changes;
}

} // namespace plantainfork::batch
