#include "policy/replay.h"

#include <algorithm>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>

#include "scheduling/resources.h"

namespace plantainfork::bench
{

using namespace std::chrono_literals;
using scheduling::Resources;

namespace
{

constexpr auto StartLatency = 300ms;
constexpr auto StopLatency = 500ms;
constexpr auto CheckpointLatency = 2000ms;
/** A gang that lost a member is known to be stopped after its lease. */
constexpr auto FailureDelay = 5s;
constexpr auto SampleInterval = 60s;

/** One replay. */
class Replay
{
public:
    Replay(const Trace &trace, std::string policy, const Handler &handler)
        : m_trace(trace)
        , m_handler(handler)
    {
        m_outcome.policy = std::move(policy);
    }

    Outcome run()
    {
        prepare();
        while (!m_pending.empty() && m_pending.top().at <= runtime::Instant(m_trace.length)) {
            const Pending next = m_pending.top();
            m_pending.pop();
            m_now = next.at;
            m_actions[next.action]();
            m_actions.erase(next.action);
        }
        m_outcome.fragmentation = m_fragmentSamples == 0 ? 0 : m_fragmentSum / static_cast<double>(m_fragmentSamples);
        m_outcome.takeOutShare = m_possibleHours > 0 ? m_busyHours / m_possibleHours : 0;
        m_outcome.unfinished = m_jobs.size();
        // Open jobs count with their age, or a policy that starves large jobs would look fast.
        for (const auto &[id, job] : m_jobs) {
            const auto age = runtime::Instant(m_trace.length) - job.arrival.job.submitted;
            m_outcome.completion[job.arrival.job.urgency].push_back(std::chrono::duration<double, std::ratio<3600>>(age).count());
        }
        return std::move(m_outcome);
    }

private:
    struct Pending {
        runtime::Instant at;
        std::uint64_t action = 0;
        bool operator<(const Pending &other) const
        {
            return std::tie(at, action) > std::tie(other.at, other.action);
        }
    };
    struct Running {
        Arrival arrival;
        bool isLive = false;
        bool isStopping = false;
        wire::AttemptId attempt;
        scheduling::Placement placement;
        runtime::Instant since;
        std::chrono::milliseconds done{0};
        bool hasStarted = false;
    };

    void prepare()
    {
        for (const scheduling::WorkerUpdated &worker : m_trace.workers) {
            m_free[worker.id] = {worker.accelerators, worker.cores, static_cast<std::int64_t>(worker.memoryMiB)};
            m_workers[worker.id] = worker;
            send(worker);
        }
        send(scheduling::ConfigChanged{m_trace.config});
        m_outcome.decisionMicroseconds.clear();
        for (const Arrival &arrival : m_trace.arrivals) {
            m_largest = std::max(m_largest, std::tuple(arrival.job.shape.members * arrival.job.shape.acceleratorsPerMember, arrival.job.shape));
            at(arrival.job.submitted, [this, &arrival] {
                m_jobs[arrival.job.id].arrival = arrival;
                send(scheduling::JobSubmitted{arrival.job});
            });
        }
        for (const Incident &incident : m_trace.incidents) {
            at(runtime::Instant(incident.at), [this, &incident] {
                happen(incident);
            });
        }
        tick();
    }

    void at(runtime::Instant when, std::function<void()> action)
    {
        m_pending.push({when, m_nextAction});
        m_actions.emplace(m_nextAction++, std::move(action));
    }

    void tick()
    {
        // The daemon ticks each second; here once a sample is enough, as every event decides as well.
        send(scheduling::Tick{});
        sample();
        at(m_now + SampleInterval, [this] {
            tick();
        });
    }

    void happen(const Incident &incident)
    {
        if (!incident.cancelPrefix.empty()) {
            std::vector<base::JobId> wave;
            for (const auto &[id, job] : m_jobs) {
                if (id.value().starts_with(incident.cancelPrefix)) {
                    wave.push_back(id);
                }
            }
            for (const base::JobId &id : wave) {
                send(scheduling::JobCancelled{id});
            }
            return;
        }
        if (const auto *config = std::get_if<scheduling::ConfigChanged>(&incident.event)) {
            m_out.clear();
            for (const auto &[id, dataCentre] : config->config->dataCentres) {
                if (dataCentre.value.mode == wire::DataCentreMode::Out) {
                    m_out.insert(id);
                }
            }
        } else if (const auto *lost = std::get_if<scheduling::WorkerLost>(&incident.event)) {
            m_lost.insert(lost->id);
        } else if (const auto *updated = std::get_if<scheduling::WorkerUpdated>(&incident.event)) {
            m_lost.erase(updated->id);
        }
        send(incident.event);
    }

    void send(const scheduling::Event &event)
    {
        const auto before = std::chrono::steady_clock::now();
        const scheduling::Decision decision = m_handler(event, m_now);
        const auto after = std::chrono::steady_clock::now();
        m_outcome.decisionMicroseconds.push_back(std::chrono::duration<double, std::micro>(after - before).count());
        for (const scheduling::Command &command : decision.commands) {
            std::visit(
                [this](const auto &typed) {
                    obey(typed);
                },
                command);
        }
    }

    void obey(const scheduling::StartGang &start)
    {
        Running &job = m_jobs[start.attempt.job];
        m_outcome.violations += start.placement.size() != start.shape.members || job.isLive ? 1 : 0;
        job.attempt = start.attempt;
        job.placement = start.placement;
        job.isLive = true;
        job.isStopping = false;
        bool isFailing = false;
        for (const base::MemberId &member : job.placement) {
            Resources &free = m_free[member];
            free -= scheduling::perMember(start.shape);
            m_outcome.violations += !free.covers({}) || m_out.contains(m_workers[member].dataCentre) || m_lost.contains(member) ? 1 : 0;
            isFailing = isFailing || std::find(m_trace.failing.begin(), m_trace.failing.end(), member) != m_trace.failing.end();
        }
        m_tasks += start.shape.members;
        m_outcome.peakTasks = std::max(m_outcome.peakTasks, m_tasks);
        at(m_now + StartLatency, [this, attempt = start.attempt, isFailing] {
            begin(attempt, isFailing);
        });
    }

    [[nodiscard]] Running *live(const wire::AttemptId &attempt)
    {
        const auto found = m_jobs.find(attempt.job);
        return found != m_jobs.end() && found->second.isLive && found->second.attempt == attempt ? &found->second : nullptr;
    }

    void begin(const wire::AttemptId &attempt, bool isFailing)
    {
        Running *job = live(attempt);
        if (job == nullptr || job->isStopping) {
            return;
        }
        job->since = m_now;
        if (!std::exchange(job->hasStarted, true) && job->arrival.job.urgency == wire::Urgency::Urgent) {
            m_outcome.urgentStartSeconds.push_back(std::chrono::duration<double>(m_now - job->arrival.job.submitted).count());
        }
        send(scheduling::GangStarted{attempt});
        if (isFailing) {
            at(m_now + FailureDelay, [this, attempt] {
                fail(attempt);
            });
            return;
        }
        at(m_now + (job->arrival.actual - job->done), [this, attempt] {
            end(attempt);
        });
    }

    void fail(const wire::AttemptId &attempt)
    {
        const Running *job = live(attempt);
        if (job == nullptr || job->isStopping) {
            return;
        }
        std::uint32_t rank = 0;
        while (std::find(m_trace.failing.begin(), m_trace.failing.end(), job->placement[rank]) == m_trace.failing.end()) {
            ++rank;
        }
        send(scheduling::TaskEnded{attempt, rank, wire::TaskState::Failed, {}, "fails everything"});
    }

    void end(const wire::AttemptId &attempt)
    {
        Running *job = live(attempt);
        if (job == nullptr || job->isStopping) {
            return;
        }
        free(*job);
        const std::uint32_t members = job->arrival.job.shape.members;
        for (std::uint32_t rank = 0; rank < members; ++rank) {
            send(scheduling::TaskEnded{attempt, rank, wire::TaskState::Finished, {}, {}});
        }
    }

    void obey(const scheduling::StopGang &stop)
    {
        Running *job = live(stop.attempt);
        if (job == nullptr || job->isStopping || stop.mode == wire::StopMode::Throttle) {
            return;
        }
        job->isStopping = true;
        const bool isCheckpoint = stop.mode == wire::StopMode::Checkpoint;
        const bool hasLost = std::any_of(job->placement.begin(), job->placement.end(), [this](const auto &member) {
            return m_lost.contains(member);
        });
        const bool isRunning = job->since > runtime::Instant() && m_now >= job->since;
        const auto worked = isRunning ? std::chrono::duration_cast<std::chrono::milliseconds>(m_now - job->since) : 0ms;
        if (isCheckpoint && !hasLost) {
            job->done += worked;
        } else {
            m_outcome.lostHours += hours(*job, worked);
        }
        const auto latency = hasLost ? std::chrono::milliseconds(FailureDelay) : std::chrono::milliseconds(isCheckpoint ? CheckpointLatency : StopLatency);
        at(m_now + latency, [this, attempt = stop.attempt] {
            Running *stopped = live(attempt);
            if (stopped != nullptr) {
                free(*stopped);
                send(scheduling::GangStopped{attempt, stopped->done});
            }
        });
    }

    void obey(const scheduling::FinishJob &finish)
    {
        const auto found = m_jobs.find(finish.job);
        if (found == m_jobs.end()) {
            return;
        }
        const Arrival &arrival = found->second.arrival;
        if (finish.outcome == scheduling::JobOutcome::Finished) {
            ++m_outcome.finished;
            m_outcome.usefulHours += hours(found->second, arrival.actual);
            m_outcome.completion[arrival.job.urgency].push_back(std::chrono::duration<double, std::ratio<3600>>(m_now - arrival.job.submitted).count());
        } else {
            m_outcome.failed += finish.outcome == scheduling::JobOutcome::Cancelled ? 0 : 1;
        }
        m_jobs.erase(found);
    }

    [[nodiscard]] static double hours(const Running &job, std::chrono::milliseconds worked)
    {
        const wire::Shape &shape = job.arrival.job.shape;
        return std::chrono::duration<double, std::ratio<3600>>(worked).count() * shape.members * shape.acceleratorsPerMember;
    }

    void free(Running &job)
    {
        for (const base::MemberId &member : job.placement) {
            m_free[member] += scheduling::perMember(job.arrival.job.shape);
        }
        m_tasks -= job.placement.size();
        job.isLive = false;
        job.since = {};
    }

    void sample()
    {
        m_outcome.peakWaiting = std::max<std::uint64_t>(m_outcome.peakWaiting, m_jobs.size());
        const wire::Shape &shape = std::get<1>(m_largest);
        std::map<std::string, std::uint32_t> members;
        std::int64_t freeSum = 0;
        std::int64_t total = 0;
        for (const auto &[id, worker] : m_workers) {
            if (m_lost.contains(id) || m_out.contains(worker.dataCentre) || worker.accelerators == 0) {
                continue;
            }
            total += worker.accelerators;
            freeSum += m_free[id].accelerators;
            std::string domain = worker.dataCentre.value();
            domain += shape.adjacency == wire::Adjacency::DataCentre ? "" : "/" + worker.rack.value();
            members[domain] += scheduling::membersThatFit(m_free[id], scheduling::perMember(shape), shape.members);
        }
        std::int64_t usable = 0;
        for (const auto &[domain, count] : members) {
            usable += count >= shape.members ? static_cast<std::int64_t>(count) * shape.acceleratorsPerMember : 0;
        }
        if (freeSum > 0) {
            m_fragmentSum += 1 - static_cast<double>(usable) / static_cast<double>(freeSum);
            ++m_fragmentSamples;
        }
        if (!m_out.empty()) {
            m_possibleHours += static_cast<double>(total);
            m_busyHours += static_cast<double>(total - freeSum);
        }
    }

    const Trace &m_trace;
    const Handler &m_handler;
    Outcome m_outcome;
    runtime::Instant m_now;
    std::priority_queue<Pending> m_pending;
    std::unordered_map<std::uint64_t, std::function<void()>> m_actions;
    std::uint64_t m_nextAction = 0;
    std::map<base::JobId, Running> m_jobs;
    std::map<base::MemberId, Resources> m_free;
    std::map<base::MemberId, scheduling::WorkerUpdated> m_workers;
    std::set<base::DataCentreId> m_out;
    std::set<base::MemberId> m_lost;
    std::tuple<std::uint32_t, wire::Shape> m_largest{0, wire::Shape{}};
    std::uint64_t m_tasks = 0;
    double m_fragmentSum = 0;
    std::uint64_t m_fragmentSamples = 0;
    double m_possibleHours = 0;
    double m_busyHours = 0;
};

} // namespace

Outcome replay(const Trace &trace, const std::string &policy, const Handler &handler)
{
    return Replay(trace, policy, handler).run();
}

} // namespace plantainfork::bench
