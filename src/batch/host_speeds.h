/**
 * Learns how fast hosts are from the progress of their runs. Does no I/O and reads no clock: the caller passes the time.
 *
 * Designed for gangs on hosts of which one in three takes 2.4 times as long: a gang ends with its slowest member, so a single slow host makes
 * an urgent gang late. Estimates may be off by any factor, but by the same one for all tasks of a step, so only runs of the same step of the
 * same job are compared: log pace = effect of the step + effect of the host.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "batch/job_shape.h"
#include "batch/records.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

using runtime::Instant;

/** A step of a job; its tasks are alike. */
using SpeedStep = std::pair<base::JobId, std::uint32_t>;

/** One run among those of a step. */
struct SpeedRun {
    std::uint32_t occurrence = 0;
    std::uint32_t task = 0;
    Attempt attempt;

    auto operator<=>(const SpeedRun &) const = default;
};

/** Progress that a run made on its host. */
struct PaceSample {
    double gainedPercent = 0;
    Duration elapsed{};
    /** How many times as long the run takes for a reason other than its host. */
    double knownSlowdown = 1.0;
};

/** A host that became slow, or ceased to be. */
struct SpeedChange {
    std::size_t host = 0;
    bool isSlow = false;
    double factor = 1.0;
    std::uint32_t samples = 0;
};

class HostSpeeds
{
public:
    /** Hosts are slow from this factor on; 0: nothing is learned and no host is slow. */
    explicit HostSpeeds(double unevenHostRatio);

    [[nodiscard]] bool isOn() const
    {
        return m_ratio > 0;
    }
    /**
     * Weight of a sample, 0 to 1: 1 is a run whose pace is off only by the difference among tasks of a step; 0 is one that shows too little to
     * count.
     */
    [[nodiscard]] static double weightOf(const PaceSample &sample);
    /** Adds a sample of a run, or replaces the run's earlier one. Hosts are given by Host::number. */
    void observe(const SpeedStep &step, const SpeedRun &run, std::size_t host, const PaceSample &sample, Instant now);
    /** A new executor process may have been given another share of its host: keeps a quarter of the evidence. */
    void noteNewExecutor(std::size_t host);
    /** Estimates the factors anew if UpdateInterval has passed; returns what changed about slow hosts. */
    std::vector<SpeedChange> update(Instant now);

    /** How many times as long a run takes as on the median host; 1 without evidence. */
    [[nodiscard]] double factor(std::size_t host) const
    {
        return host < m_hosts.size() ? m_hosts[host].factor : 1.0;
    }
    /** The factor of a host that is classified as slow; 1 for all others. */
    [[nodiscard]] double slowFactor(std::size_t host) const
    {
        return isSlow(host) ? m_hosts[host].factor : 1.0;
    }
    [[nodiscard]] bool isSlow(std::size_t host) const
    {
        return host < m_hosts.size() && m_hosts[host].isSlow;
    }
    /** Whether there is enough evidence to tell how fast the host is. */
    [[nodiscard]] bool isKnown(std::size_t host) const
    {
        return host < m_hosts.size() && m_hosts[host].isKnown;
    }
    [[nodiscard]] std::size_t slowHosts() const
    {
        return m_slowHosts;
    }
    /** Number of runs of which a sample was taken. */
    [[nodiscard]] std::uint64_t samples() const
    {
        return m_samples;
    }
    /** Samples held at present; bounded by MaxSamples. */
    [[nodiscard]] std::size_t heldSamples() const
    {
        return m_heldSamples;
    }

    /** What the record in the store says of a host. */
    struct Known {
        double factor = 1.0;
        double evidence = 0;
    };
    [[nodiscard]] Known known(std::size_t host) const;
    /** Takes what an earlier leader knew, unless there is evidence already. */
    void restore(std::size_t host, const Known &known);

    static constexpr std::chrono::milliseconds UpdateInterval{250};
    static constexpr std::size_t MaxSamples = 8192;

private:
    struct Sample {
        SpeedRun run;
        std::size_t host = 0;
        double logPace = 0;
        double weight = 0;
    };
    struct StepSamples {
        std::vector<Sample> samples;
        Instant begunAt;
        Instant sampledAt;
        /** Log pace of the step's tasks on a host of effect 0. */
        double effect = 0;
        double weight = 0;
        /** Runs on at least two hosts can be compared. */
        bool isComparable = false;
    };
    struct HostSpeed {
        /** Evidence of samples that are no longer held: total weight, and the weighted sum of the host's effects. */
        double pastWeight = 0;
        double pastSum = 0;
        /** Log pace of the host relative to others. */
        double effect = 0;
        double evidence = 0;
        double factor = 1.0;
        std::uint32_t samples = 0;
        bool isKnown = false;
        bool isSlow = false;
        /** Sums of one estimation. */
        double weight = 0;
        double sum = 0;
    };

    HostSpeed &hostSpeed(std::size_t host);
    void decay(Instant now);
    /** Moves old samples into the past evidence of their hosts. */
    void retireSamples(Instant now);
    void retire(const StepSamples &step, const Sample &sample);
    void estimateStep(StepSamples &step) const;
    void estimateHosts();
    [[nodiscard]] std::vector<SpeedChange> classify();

    double m_ratio;
    std::map<SpeedStep, StepSamples> m_steps;
    /** By Host::number. */
    std::vector<HostSpeed> m_hosts;
    std::size_t m_heldSamples = 0;
    std::size_t m_slowHosts = 0;
    std::uint64_t m_samples = 0;
    Instant m_updatedAt;
    bool m_hasNewSamples = false;
};

} // namespace plantainfork::batch
