#include "decisions/simulated_host.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainfork::bench
{

namespace
{

constexpr std::chrono::milliseconds CheckpointInterval{2000};
constexpr double WholePercent = 100.0;
/** Resolution of the fraction in a checkpoint's text. */
constexpr double CheckpointUnits = 1e6;

} // namespace

std::string encodeCheckpoint(double fraction)
{
    return std::to_string(static_cast<std::uint64_t>(std::llround(fraction * CheckpointUnits)));
}

double decodeCheckpoint(const std::string &checkpoint)
{
    return checkpoint.empty() ? 0.0 : static_cast<double>(std::stoull(checkpoint)) / CheckpointUnits;
}

SimulatedHost::SimulatedHost(const LoadHost &host, base::FencingToken token)
    : m_description(host)
{
    m_call.host = batch::HostId(host.name);
    m_call.agentIncarnation = 1;
    m_call.hasReport = true;
    m_call.isExecutorReached = true;
    m_call.listToken = token;
    m_call.report.incarnation = {"executor-" + host.name, m_life};
    m_call.report.service = base::ServiceId("ledger");
    m_call.report.dataCentre = base::DataCentreId(host.dataCentre);
    m_call.report.capacity = host.capacity;
    m_call.report.labels = {"a", host.rack};
}

const batch::SyncCall &SimulatedHost::nextCall(runtime::Instant now)
{
    ++m_call.sequence;
    m_toldEnds = m_ends;
    m_call.running.clear();
    for (const auto &[run, simulated] : m_runs) {
        const double saved = savedProgress(simulated, now, false);
        const auto percent = static_cast<std::uint32_t>(progress(simulated, now) * WholePercent);
        m_call.running.push_back({run, saved > 0 ? encodeCheckpoint(saved) : std::string(), percent});
    }
    return m_call;
}

void SimulatedHost::start(const batch::RunId &run, const SimulatedRun &simulated)
{
    m_runs[run] = simulated;
}

SimulatedRun *SimulatedHost::find(const batch::RunId &run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second;
}

double SimulatedHost::end(const batch::RunId &run, batch::EndKind kind, runtime::Instant now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return 0;
    }
    const bool isDone = kind == batch::EndKind::Done;
    const bool isStop = kind == batch::EndKind::Stopped;
    const double saved = savedProgress(found->second, now, isStop);
    const double lost = isDone ? 0 : lostWork(found->second, now, isStop);
    m_call.ended.push_back({++m_ends, run, kind, saved > 0 && !isDone ? encodeCheckpoint(saved) : std::string()});
    m_runs.erase(found);
    return lost;
}

void SimulatedHost::bar(const batch::RunId &run)
{
    m_call.barred.push_back(run);
}

double SimulatedHost::crash(runtime::Instant now)
{
    double lost = 0;
    for (const auto &[run, simulated] : m_runs) {
        lost += lostWork(simulated, now, false);
    }
    m_runs.clear();
    m_isUp = false;
    ++m_life;
    return lost;
}

void SimulatedHost::restart()
{
    m_isUp = true;
    m_ends = 0;
    m_toldEnds = 0;
    m_call.ended.clear();
    m_call.barred.clear();
    m_call.report.incarnation.born = m_life;
    m_call.report.isDraining = false;
    m_call.report.remaining = {};
}

void SimulatedHost::announceLeave(std::chrono::milliseconds remaining)
{
    m_call.report.isDraining = true;
    m_call.report.remaining = remaining;
}

std::vector<batch::RunId> SimulatedHost::runs() const
{
    std::vector<batch::RunId> result;
    for (const auto &[run, simulated] : m_runs) {
        result.push_back(run);
    }
    return result;
}

std::vector<batch::RunId> SimulatedHost::untoldDone() const
{
    std::vector<batch::RunId> result;
    for (const auto &ended : m_call.ended) {
        if (ended.number > m_toldEnds && ended.kind == batch::EndKind::Done) {
            result.push_back(ended.run);
        }
    }
    return result;
}

double SimulatedHost::progress(const SimulatedRun &run, runtime::Instant now)
{
    const double gained =
        run.fullTime.count() == 0 ? 1.0 : std::chrono::duration<double>(now - run.startedAt).count() / std::chrono::duration<double>(run.fullTime).count();
    return std::clamp(run.doneBefore + std::max(gained, 0.0), 0.0, 1.0);
}

double SimulatedHost::savedProgress(const SimulatedRun &run, runtime::Instant now, bool isStop)
{
    if (!run.hasCheckpoints) {
        return 0;
    }
    if (isStop) {
        return progress(run, now);
    }
    const auto worked = std::max(now - run.startedAt, runtime::Clock::duration::zero());
    const auto checkpointed = worked - worked % std::chrono::duration_cast<runtime::Clock::duration>(CheckpointInterval);
    return progress(run, run.startedAt + checkpointed);
}

double SimulatedHost::lostWork(const SimulatedRun &run, runtime::Instant now, bool isStop)
{
    const double lost = progress(run, now) - std::max(savedProgress(run, now, isStop), run.hasCheckpoints ? run.doneBefore : 0.0);
    return std::max(lost, 0.0) * std::chrono::duration<double>(run.fullTime).count() * run.cores;
}

} // namespace plantainfork::bench
