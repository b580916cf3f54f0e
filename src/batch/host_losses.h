/**
 * Records which hosts have recently lost or failed runs through their own fault, and estimates from it the probability that a host loses a
 * run. Does no I/O and reads no clock: the caller passes the time.
 *
 * Designed for executors that repeatedly go down and come back up, fail their runs while reporting themselves healthy, or are withdrawn at
 * short notice. What happens to many hosts at once, such as a power loss, and units that fail wherever they run say nothing about a host.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "batch/model.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

class HostLosses
{
public:
    using Duration = runtime::Clock::duration;
    using Instant = runtime::Instant;

    /** A host that is doubtful from now on, or no longer is. */
    struct Change {
        HostId host;
        bool isDoubtful = false;
        /** Losses that count, each less the older it is. */
        double losses = 0;
    };

    /** `halfLife`: time after which a loss counts half; 0: nothing is recorded, and no host is expected to lose a run. */
    explicit HostLosses(std::chrono::seconds halfLife);

    [[nodiscard]] bool isOn() const
    {
        return m_halfLife > std::chrono::seconds(0);
    }

    /**
     * The host's executor was lost, with all its runs, at a time that may have passed. Several calls about the same second count once.
     * `suspects`: units that may have caused it, each by its first task; if one of them has failed on another host, the loss doesn't count.
     * `hosts`: the number of hosts.
     */
    void noteLoss(const HostId &host, const std::vector<TaskId> &suspects, std::size_t hosts, Instant at);
    /** A unit, given by its first task, has failed on the host. Failures count if several units fail here and others succeed elsewhere. */
    void noteFailure(const HostId &host, const TaskId &unit, std::size_t hosts, Instant at);
    /** A run is done on the host: failures there count half of what they did. */
    void noteSuccess(const HostId &host, Instant at);

    /** Losses to expect per second on each host with a loss that counts. */
    [[nodiscard]] std::map<HostId, double> lossRates(Instant now) const;
    /** Probability that a host loses its runs within a time, given the losses to expect per second; at most 0.9. */
    [[nodiscard]] static double probability(double lossRate, Duration runTime);
    [[nodiscard]] double probability(const HostId &host, Duration runTime, Instant now) const;

    /** Forgets what is too old to matter. Returns which hosts have become doubtful, or no longer are, since the previous call. */
    [[nodiscard]] std::vector<Change> update(Instant now);
    [[nodiscard]] std::size_t doubtfulHosts() const
    {
        return m_doubtfulHosts;
    }

private:
    /** A number of events that decays with the half-life. */
    struct DecayedCount {
        double value = 0;
        Instant at;
    };
    struct Loss {
        Instant at;
        /** Key into `m_slots`. */
        std::int64_t slot = 0;
        /** A run failed; otherwise the executor was lost. */
        bool isFailure = false;
        double weight = 1.0;
        /** Units that may have caused it. */
        std::vector<TaskId> units;
    };
    struct Record {
        std::vector<Loss> losses;
        /** Runs that were done here since the first of these losses. */
        DecayedCount successes;
        /** When a loss was last added. */
        Instant changedAt;
        bool isDoubtful = false;
    };
    /** A short span of time, in which losses of many hosts are recognized as one event. */
    struct Slot {
        std::size_t hosts = 0;
        bool isOfManyHosts = false;
    };
    struct FailedUnit {
        HostId host;
        bool hasFailedElsewhere = false;
        Instant at;
    };

    [[nodiscard]] double decay(Duration age) const;
    void add(DecayedCount &count, Instant at) const;
    [[nodiscard]] double valueAt(const DecayedCount &count, Instant now) const;
    /** Adds a loss to the host, or returns the one that already stands for it. */
    Loss &lossAt(Record &record, Instant at, bool isFailure, std::size_t hosts);
    [[nodiscard]] std::int64_t addToSlot(const Record &record, Instant at, std::size_t hosts);
    void noteUnit(const TaskId &unit, const HostId &host, Instant at);
    /** Whether it belongs to an event that affected many hosts. */
    [[nodiscard]] bool isOfManyHosts(const Loss &loss) const;
    [[nodiscard]] bool isCounted(const Loss &loss) const;
    /** Losses of the host that count, each less the older it is. */
    [[nodiscard]] double countedLosses(const Record &record, Instant now) const;

    std::chrono::seconds m_halfLife;
    std::map<HostId, Record> m_records;
    std::map<std::int64_t, Slot> m_slots;
    std::map<TaskId, FailedUnit> m_units;
    DecayedCount m_successes;
    std::size_t m_doubtfulHosts = 0;
};

} // namespace plantainfork::batch
