/**
 * A host of the playback: it runs what it is ordered to run, at its own speed, and keeps the report that its agent would send. Gangs work
 * only while all their members are present, which the playback decides.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/messages.h"
#include "decisions/load.h"
#include "runtime/clock.h"

namespace plantainfork::bench
{

struct SimulatedRun {
    runtime::Instant startedAt;
    /** Fraction of the work that was done before this run began, 0 to 1. */
    double doneBefore = 0;
    /** Time that the whole work of the task takes here. */
    runtime::Clock::duration fullTime{};
    bool hasCheckpoints = false;
    /** Cores and accelerators in equivalent cores, to account for lost work. */
    double cores = 0;
    bool isStopping = false;
};

class SimulatedHost
{
public:
    SimulatedHost(const LoadHost &host, base::FencingToken token);

    [[nodiscard]] const LoadHost &description() const
    {
        return m_description;
    }
    /** The next sync call of the host's agent. */
    [[nodiscard]] const batch::SyncCall &nextCall(runtime::Instant now);

    void start(const batch::RunId &run, const SimulatedRun &simulated);
    [[nodiscard]] SimulatedRun *find(const batch::RunId &run);
    /** Ends a run and lists the end. Returns the core-equivalent seconds of work that are lost with it. */
    double end(const batch::RunId &run, batch::EndKind kind, runtime::Instant now);
    /** Notes that a run which was ordered never started and never will. */
    void bar(const batch::RunId &run);
    /** All runs end without being listed. Returns the core-equivalent seconds of work that are lost. */
    double crash(runtime::Instant now);
    /** A new executor takes the place of one that has crashed or left. */
    void restart();
    void announceLeave(std::chrono::milliseconds remaining);
    void setFailing(bool isFailing)
    {
        m_isFailing = isFailing;
    }
    [[nodiscard]] bool isFailing() const
    {
        return m_isFailing;
    }
    [[nodiscard]] bool isUp() const
    {
        return m_isUp;
    }
    /** Incremented with each restart; events of an earlier life are ignored. */
    [[nodiscard]] std::uint64_t life() const
    {
        return m_life;
    }
    [[nodiscard]] std::vector<batch::RunId> runs() const;
    /** Runs that are done, though no call has listed them as ended yet. */
    [[nodiscard]] std::vector<batch::RunId> untoldDone() const;

    /** Fraction of the task's work that the run has done by now, 0 to 1. */
    [[nodiscard]] static double progress(const SimulatedRun &run, runtime::Instant now);

private:
    /** Fraction of the work that is safe in a checkpoint; a stop writes one, a crash doesn't. */
    [[nodiscard]] static double savedProgress(const SimulatedRun &run, runtime::Instant now, bool isStop);
    [[nodiscard]] static double lostWork(const SimulatedRun &run, runtime::Instant now, bool isStop);

    const LoadHost &m_description;
    std::map<batch::RunId, SimulatedRun> m_runs;
    batch::SyncCall m_call;
    std::uint64_t m_ends = 0;
    /** Number of the last end that a call has listed. */
    std::uint64_t m_toldEnds = 0;
    std::uint64_t m_life = 1;
    bool m_isUp = true;
    bool m_isFailing = false;
};

/** Text of a checkpoint that holds a fraction of the work, 0 to 1, and back. */
[[nodiscard]] std::string encodeCheckpoint(double fraction);
[[nodiscard]] double decodeCheckpoint(const std::string &checkpoint);

} // namespace plantainfork::bench
