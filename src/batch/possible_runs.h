/**
 * The runs that a host's executor may have, as its agent knows them, and the runs that earlier incarnations had when they crashed. An executor
 * that crashes reports nothing, so only this record shows the leader what may have been the cause.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "batch/crash_blame.h"
#include "batch/executor_port.h"
#include "batch/messages.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

class PossibleRuns
{
public:
    /** Notes a start before it is sent: the executor may crash, or list the run as ended, before it answers. Returns whether it is the run's first. */
    bool addStart(const RunId &run, runtime::Instant now)
    {
        return m_runs.try_emplace(run, PossibleRun{now}).second;
    }
    /** Notes that the present incarnation has answered the start. */
    void confirmStart(const RunId &run)
    {
        if (const auto found = m_runs.find(run); found != m_runs.end()) {
            found->second.begin = RunBegin::Certain;
        }
    }
    /** Takes back the only start of a run, which has begun nothing. `hasCrashed`: the incarnation to which it was sent has crashed meanwhile. */
    void removeStart(const RunId &run, bool hasCrashed)
    {
        m_runs.erase(run);
        if (hasCrashed) {
            std::erase_if(m_crashed, [&](const CrashedRun &crashed) {
                return crashed.run == run;
            });
        }
    }
    /** Notes that the run has never started and never will. */
    void bar(const RunId &run)
    {
        m_runs.erase(run);
    }
    void applyListing(const Listing &listing, runtime::Instant now)
    {
        for (const auto &running : listing.running) {
            // A run without an entry was started by an earlier process of this agent, a while ago.
            PossibleRun &possible = m_runs.try_emplace(running.run, PossibleRun{now - CrashTiming::SettleTime}).first->second;
            possible.begin = RunBegin::Certain;
            possible.listedFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - possible.startedAt);
        }
        for (const auto &ended : listing.ended) {
            m_runs.erase(ended.run);
        }
    }

    /** Whether the run has certainly started on the present incarnation, and no listing has shown its end. */
    [[nodiscard]] bool hasBegun(const RunId &run) const
    {
        const auto found = m_runs.find(run);
        return found != m_runs.end() && found->second.begin == RunBegin::Certain;
    }

    /** Notes that the incarnation is gone without notice. Returns false if that is known already. */
    bool recordCrash(const HostIncarnation &incarnation)
    {
        if (m_lastCrashed == incarnation) {
            return false;
        }
        m_lastCrashed = incarnation;
        for (const auto &[run, possible] : m_runs) {
            m_crashed.push_back({run, possible.listedFor, possible.begin});
        }
        m_runs.clear();
        return true;
    }
    /** Forgets the runs of the present incarnation, which is replaced by another one. */
    void beginIncarnation()
    {
        m_runs.clear();
    }
    /**
     * Forgets the crashed runs once the leader has sent orders for the present incarnation: it does so after it has recorded what the first
     * report of that incarnation told. Orders for one that has crashed may be older.
     */
    void confirmCrashes(const HostIncarnation &ordered)
    {
        if (ordered != m_lastCrashed) {
            m_crashed.clear();
        }
    }

    /** Runs that earlier incarnations may have had when they crashed, until the leader has recorded them. */
    [[nodiscard]] const std::vector<CrashedRun> &crashed() const
    {
        return m_crashed;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_runs.size();
    }

private:
    struct PossibleRun {
        runtime::Instant startedAt{};
        /** Time from its start to the last listing that had it; 0: none had. */
        std::chrono::milliseconds listedFor{0};
        RunBegin begin = RunBegin::Possible;
    };

    /** Runs of the present incarnation that have, or may have, started and not ended. */
    std::map<RunId, PossibleRun> m_runs;
    std::vector<CrashedRun> m_crashed;
    HostIncarnation m_lastCrashed;
};

} // namespace plantainfork::batch
