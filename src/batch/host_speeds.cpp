#include "batch/host_speeds.h"

#include <algorithm>
#include <cmath>

namespace plantainfork::batch
{

namespace
{

/** Standard deviation of the work of a step's tasks, relative to their mean; 0.15 to 0.3 were seen. */
constexpr double TaskDeviation = 0.2;
/** Uncertainty, in seconds, of the time between two lists of a host's runs. */
constexpr double TimeDeviation = 0.1;
/** Progress is told in whole percent. */
constexpr double PercentDeviation = 0.5;
/** Less progress than this, in percent, or over a shorter time, doesn't count. */
constexpr double MinGainedPercent = 8;
constexpr std::chrono::milliseconds MinElapsed{300};
/** Weight of the assumption that a host is as fast as the others, in samples. */
constexpr double PriorWeight = 0.3;
/** Evidence, in samples, from which on a host's factor is used. */
constexpr double MinEvidence = 0.5;
/** With fewer known hosts there is no median to compare with. */
constexpr std::size_t MinKnownHosts = 3;
/** A host ceases to be slow this far below the ratio from which on it is. */
constexpr double Hysteresis = 0.9;
/** Half-life of past evidence. With 120 s, hosts with a run every minute were forgotten between two runs. */
constexpr double EvidenceHalfLifeSeconds = 300;
/** Bound on past evidence, in samples, so that a host that changes is noticed after about as many runs. */
constexpr double MaxPastWeight = 8;
/** Share of the evidence that outlasts the executor process. */
constexpr double EvidenceOfNewExecutor = 0.25;
/** Time for which a step's samples are held after the last one, so that they gain from what is learned of the other hosts of their step meanwhile. */
constexpr std::chrono::seconds SampleAge{20};
/** The same while more than half of the samples that may be held are. */
constexpr std::chrono::seconds SampleAgeWhenMany{4};
/** Samples of a step that runs on and on are held for this many times as long after the first one. */
constexpr int MaxAges = 3;
/** A run deviates from the others of its step by no more than this, in log pace; beyond it, something else has held it up. */
constexpr double MaxDeviation = 1.2;
/** Passes over steps and hosts in one update; the next one goes on from the result. */
constexpr int Passes = 4;
/** Samples held of one step, which an update searches for a run. */
constexpr std::size_t MaxSamplesPerStep = 256;

double square(double value)
{
    return value * value;
}

} // namespace

HostSpeeds::HostSpeeds(double unevenHostRatio)
    : m_ratio(unevenHostRatio)
{
}

double HostSpeeds::weightOf(const PaceSample &sample)
{
    if (sample.gainedPercent < MinGainedPercent || sample.elapsed < MinElapsed) {
        return 0;
    }
    const double error = square(TimeDeviation / toSeconds(sample.elapsed)) + square(PercentDeviation / sample.gainedPercent);
    return square(TaskDeviation) / (square(TaskDeviation) + error);
}

HostSpeeds::HostSpeed &HostSpeeds::hostSpeed(std::size_t host)
{
    if (host >= m_hosts.size()) {
        m_hosts.resize(host + 1);
    }
    return m_hosts[host];
}

void HostSpeeds::observe(const SpeedStep &step, const SpeedRun &run, std::size_t host, const PaceSample &sample, Instant now)
{
    const double weight = weightOf(sample);
    if (!isOn() || weight <= 0) {
        return;
    }
    const double logPace = std::log(sample.gainedPercent / toSeconds(sample.elapsed) * sample.knownSlowdown);
    const auto found = m_steps.find(step);
    if (found != m_steps.end()) {
        auto &samples = found->second.samples;
        const auto earlier = std::find_if(samples.begin(), samples.end(), [&](const Sample &other) {
            return other.run == run && other.host == host;
        });
        if (earlier != samples.end()) {
            earlier->logPace = logPace;
            earlier->weight = weight;
            found->second.sampledAt = now;
            m_hasNewSamples = true;
            return;
        }
    }
    if (m_heldSamples >= MaxSamples || (found != m_steps.end() && found->second.samples.size() >= MaxSamplesPerStep)) {
        return;
    }
    StepSamples &stepSamples = m_steps[step];
    stepSamples.begunAt = stepSamples.samples.empty() ? now : stepSamples.begunAt;
    stepSamples.sampledAt = now;
    stepSamples.samples.push_back({run, host, logPace, weight});
    ++m_heldSamples;
    ++m_samples;
    ++hostSpeed(host).samples;
    m_hasNewSamples = true;
}

void HostSpeeds::noteNewExecutor(std::size_t host)
{
    if (host >= m_hosts.size()) {
        return;
    }
    m_hosts[host].pastWeight *= EvidenceOfNewExecutor;
    m_hosts[host].pastSum *= EvidenceOfNewExecutor;
    for (auto &[key, step] : m_steps) {
        for (auto &sample : step.samples) {
            sample.weight *= sample.host == host ? EvidenceOfNewExecutor : 1.0;
        }
    }
    m_hasNewSamples = true;
}

std::vector<SpeedChange> HostSpeeds::update(Instant now)
{
    if (!isOn() || !m_hasNewSamples || now - m_updatedAt < UpdateInterval) {
        return {};
    }
    decay(now);
    for (int pass = 0; pass < Passes; ++pass) {
        for (auto &[key, step] : m_steps) {
            estimateStep(step);
        }
        estimateHosts();
    }
    retireSamples(now);
    m_hasNewSamples = m_heldSamples > 0;
    return classify();
}

void HostSpeeds::decay(Instant now)
{
    const double kept = m_updatedAt == Instant() ? 1.0 : std::exp2(-toSeconds(now - m_updatedAt) / EvidenceHalfLifeSeconds);
    m_updatedAt = now;
    for (auto &host : m_hosts) {
        const double share = std::min(kept, host.pastWeight > 0 ? MaxPastWeight / host.pastWeight : kept);
        host.pastWeight *= share;
        host.pastSum *= share;
    }
}

void HostSpeeds::estimateStep(StepSamples &step) const
{
    const auto levelOf = [&](const Sample &sample) {
        return sample.logPace - m_hosts[sample.host].effect;
    };
    const bool isNew = !step.isComparable;
    step.isComparable = std::any_of(step.samples.begin(), step.samples.end(), [&](const Sample &sample) {
        return sample.host != step.samples.front().host;
    });
    if (!step.isComparable) {
        return;
    }
    if (isNew) {
        std::vector<double> levels;
        for (const auto &sample : step.samples) {
            levels.push_back(levelOf(sample));
        }
        const auto middle = levels.begin() + static_cast<std::ptrdiff_t>(levels.size() / 2);
        std::nth_element(levels.begin(), middle, levels.end());
        step.effect = *middle;
    }
    double sum = 0;
    step.weight = 0;
    for (const auto &sample : step.samples) {
        sum += sample.weight * std::clamp(levelOf(sample), step.effect - MaxDeviation, step.effect + MaxDeviation);
        step.weight += sample.weight;
    }
    step.effect = sum / step.weight;
}

void HostSpeeds::estimateHosts()
{
    for (auto &host : m_hosts) {
        host.weight = host.pastWeight;
        host.sum = host.pastSum;
        host.evidence = host.pastWeight;
    }
    for (const auto &[key, step] : m_steps) {
        if (!step.isComparable) {
            continue;
        }
        for (const auto &sample : step.samples) {
            HostSpeed &host = m_hosts[sample.host];
            host.weight += sample.weight;
            host.sum += sample.weight * std::clamp(sample.logPace - step.effect, -MaxDeviation, MaxDeviation);
            // A run tells nothing of its host by itself, and half as much beside one other as beside many.
            host.evidence += sample.weight * (1.0 - sample.weight / step.weight);
        }
    }
    for (auto &host : m_hosts) {
        host.effect = host.sum / (host.weight + PriorWeight);
    }
}

void HostSpeeds::retire(const StepSamples &step, const Sample &sample)
{
    const double others = step.weight - sample.weight;
    if (!step.isComparable || others <= 0) {
        return;
    }
    HostSpeed &host = m_hosts[sample.host];
    // The mean of the others of the step, without this run.
    const double own = std::clamp(sample.logPace - host.effect, step.effect - MaxDeviation, step.effect + MaxDeviation);
    const double level = (step.effect * step.weight - sample.weight * own) / others;
    const double weight = sample.weight * others / step.weight;
    host.pastWeight += weight;
    host.pastSum += weight * std::clamp(sample.logPace - level, -MaxDeviation, MaxDeviation);
}

void HostSpeeds::retireSamples(Instant now)
{
    const auto age = 2 * m_heldSamples > MaxSamples ? SampleAgeWhenMany : SampleAge;
    for (auto step = m_steps.begin(); step != m_steps.end();) {
        const auto &samples = step->second.samples;
        // A step's samples go together: the last ones, of its slowest runs, have nothing left to be compared with otherwise.
        if (now - step->second.sampledAt < age && now - step->second.begunAt < MaxAges * age) {
            ++step;
            continue;
        }
        for (const auto &sample : samples) {
            retire(step->second, sample);
        }
        m_heldSamples -= samples.size();
        step = m_steps.erase(step);
    }
}

std::vector<SpeedChange> HostSpeeds::classify()
{
    std::vector<double> effects;
    for (auto &host : m_hosts) {
        // Fast hosts that are kept free run less and would drop out of the median otherwise.
        host.isKnown = host.evidence >= (host.isKnown ? MinEvidence / 4 : MinEvidence);
        if (host.isKnown) {
            effects.push_back(host.effect);
        }
    }
    double median = 0;
    const bool hasMedian = effects.size() >= MinKnownHosts;
    if (hasMedian) {
        const auto middle = effects.begin() + static_cast<std::ptrdiff_t>(effects.size() / 2);
        std::nth_element(effects.begin(), middle, effects.end());
        median = *middle;
    }
    std::vector<SpeedChange> changes;
    m_slowHosts = 0;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        HostSpeed &host = m_hosts[i];
        host.factor = hasMedian && host.isKnown ? std::exp(median - host.effect) : 1.0;
        const bool isSlow = host.factor >= (host.isSlow ? m_ratio * Hysteresis : m_ratio);
        if (isSlow != host.isSlow) {
            host.isSlow = isSlow;
            changes.push_back({i, isSlow, host.factor, host.samples});
        }
        m_slowHosts += isSlow ? 1 : 0;
    }
    return changes;
}

HostSpeeds::Known HostSpeeds::known(std::size_t host) const
{
    if (!isKnown(host)) {
        return {};
    }
    return {m_hosts[host].factor, m_hosts[host].evidence};
}

void HostSpeeds::restore(std::size_t host, const Known &known)
{
    HostSpeed &speed = hostSpeed(host);
    if (!isOn() || known.evidence <= 0 || known.factor <= 0 || speed.pastWeight > 0) {
        return;
    }
    speed.pastWeight = std::min(known.evidence, MaxPastWeight);
    // The recorded factor contains the prior's share already.
    speed.pastSum = -std::clamp(std::log(known.factor), -MaxDeviation, MaxDeviation) * (speed.pastWeight + PriorWeight);
    m_hasNewSamples = true;
}

} // namespace plantainfork::batch
