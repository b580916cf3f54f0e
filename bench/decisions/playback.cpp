#include "decisions/playback.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "batch/planner.h"
#include "batch/progress.h"
#include "decisions/simulated_host.h"

namespace plantainfork::bench
{

namespace
{

using runtime::Instant;

constexpr std::uint64_t TermToken = 7;
/** From a decision until its order has been carried out, and from an event at a host until the leader knows of it. */
constexpr std::chrono::milliseconds OrderDelay{25};
constexpr std::chrono::milliseconds ReportDelay{20};
constexpr std::chrono::milliseconds PollInterval{700};
constexpr std::chrono::milliseconds RoundInterval{200};
constexpr std::chrono::milliseconds RoundGap{4};
constexpr std::chrono::milliseconds RestoreTime{100};
/** How long a failing executor runs a task before it fails. */
constexpr std::chrono::milliseconds FailureDelay{300};
/** Jobs that are still open when arrivals end get this long to be complete. */
constexpr std::chrono::milliseconds RunOut{14'000};
constexpr int LateObjectives = 3;

class Playback
{
public:
    Playback(const Load &load, const batch::PlannerBounds &bounds, const batch::WorkloadBounds &workloadBounds)
        : m_load(load)
        , m_bounds(bounds)
        , m_workload(base::FencingToken(TermToken), workloadBounds, Instant(Epoch))
        , m_planner(bounds)
    {
        m_workload.setPolicy(load.policy);
        for (const auto &host : load.hosts) {
            m_hostIndex[batch::HostId(host.name)] = m_hosts.size();
            m_hosts.emplace_back(host, base::FencingToken(TermToken));
        }
    }

    Outcome run()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            poll(i, PollInterval * static_cast<int>(i) / static_cast<int>(m_hosts.size()));
        }
        for (const auto &arrival : m_load.arrivals) {
            at(Instant(Epoch) + arrival.at, [this, &arrival] {
                submit(arrival);
            });
        }
        for (const auto &incident : m_load.incidents) {
            at(Instant(Epoch) + incident.at, [this, &incident] {
                begin(incident);
            });
        }
        at(Instant(Epoch), [this] {
            runPeriodicRounds();
        });
        const Instant end = Instant(Epoch) + m_load.length + RunOut;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        sumUp();
        return std::move(m_outcome);
    }

private:
    static constexpr std::chrono::seconds Epoch{1000};

    struct Event {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void at(Instant when, std::function<void()> action)
    {
        m_events.push({when, ++m_eventNumber, std::move(action)});
    }
    void after(runtime::Clock::duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }
    [[nodiscard]] batch::WallTime wallNow() const
    {
        return batch::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    enum class Draw {
        IsFailing,
        FailsAfter,
        StopTime,
    };

    /** Drawn from the run alone, so that two planners which start the same run meet the same luck. */
    static double uniform(const batch::RunId &run, Draw draw, double from, double to)
    {
        std::seed_seq seed{static_cast<std::uint32_t>(std::hash<std::string>()(run.task.text())),
                           static_cast<std::uint32_t>(run.attempt.value()),
                           static_cast<std::uint32_t>(draw)};
        std::mt19937 random(seed);
        return std::uniform_real_distribution<double>(from, to)(random);
    }

    void poll(std::size_t host, std::chrono::milliseconds first)
    {
        after(first, [this, host] {
            report(host);
            poll(host, PollInterval);
        });
    }

    void report(std::size_t index)
    {
        SimulatedHost &host = m_hosts[index];
        if (!host.isUp()) {
            return;
        }
        const auto &call = host.nextCall(m_now);
        const auto begin = std::chrono::steady_clock::now();
        m_workload.applySync(call, m_now, wallNow());
        m_outcome.reportMicroseconds.push_back(microsecondsSince(begin));
    }

    static double microsecondsSince(std::chrono::steady_clock::time_point begin)
    {
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    }

    void reportSoon(std::size_t host)
    {
        after(ReportDelay, [this, host] {
            report(host);
            requestRound();
        });
    }

    void submit(const Arrival &arrival)
    {
        batch::JobSpec spec = arrival.job;
        spec.acceptedMs = wallNow().time_since_epoch().count();
        m_arrivals[spec.id] = &arrival;
        m_workload.addJob(std::move(spec), std::nullopt, m_now, wallNow());
        requestRound();
    }

    void begin(const HostIncident &incident)
    {
        SimulatedHost &host = m_hosts[incident.host];
        const std::size_t index = incident.host;
        switch (incident.kind) {
        case HostIncidentKind::Crash:
            crash(index, "crash");
            after(incident.duration, [this, index] {
                m_hosts[index].restart();
                reportSoon(index);
            });
            break;
        case HostIncidentKind::Leave:
            host.announceLeave(incident.duration);
            reportSoon(index);
            after(incident.duration, [this, index] {
                crash(index, "host left");
            });
            break;
        case HostIncidentKind::FailAll:
            host.setFailing(true);
            after(incident.duration, [this, index] {
                m_hosts[index].setFailing(false);
            });
            break;
        }
    }

    void crash(std::size_t index, const std::string &cause)
    {
        // A task whose end was never told must start again.
        for (const auto &run : m_hosts[index].untoldDone()) {
            m_doneTasks.erase(run.task);
        }
        const auto runs = m_hosts[index].runs();
        m_outcome.lostWork[cause] += m_hosts[index].crash(m_now);
        for (const auto &run : runs) {
            breakGang(run, cause);
        }
    }

    void requestRound()
    {
        if (!m_isRoundDue) {
            m_isRoundDue = true;
            after(RoundGap, [this] {
                decide();
            });
        }
    }

    void runPeriodicRounds()
    {
        requestRound();
        after(RoundInterval, [this] {
            runPeriodicRounds();
        });
    }

    void decide()
    {
        m_isRoundDue = false;
        const auto begin = std::chrono::steady_clock::now();
        m_workload.expireSilentHosts(m_now, wallNow());
        m_workload.updateHostLosses(m_now);
        const batch::Plan plan = m_planner.plan(m_workload, {}, m_now, wallNow());
        for (const auto &stop : plan.stops) {
            m_workload.stop(stop.unit, stop.reason);
        }
        for (const auto &placement : plan.placements) {
            m_workload.place(placement.unit, placement.hosts, m_now);
        }
        m_workload.noteService(plan.serviceUse, plan.passedOver, m_now);
        m_workload.noteWaitingNearData(plan.waitingNearData, m_now);
        auto orders = collectOrders();
        m_outcome.roundMicroseconds.push_back(microsecondsSince(begin));
        ++m_outcome.rounds;
        m_outcome.placements += plan.placements.size();
        m_outcome.stops += plan.stops.size();
        (void)m_workload.takeTimings();
        (void)m_workload.takeEvents();
        for (auto &[host, hostOrders] : orders) {
            carryOut(host, std::move(hostOrders));
        }
    }

    std::vector<std::pair<std::size_t, batch::Orders>> collectOrders()
    {
        std::vector<std::pair<std::size_t, batch::Orders>> all;
        for (const auto &id : m_workload.takeChangedHosts()) {
            all.emplace_back(m_hostIndex.at(id), m_workload.ordersFor(m_workload.hosts().at(id)));
        }
        return all;
    }

    void carryOut(std::size_t index, batch::Orders orders)
    {
        const SimulatedHost &host = m_hosts[index];
        const std::uint64_t life = host.life();
        for (const auto &order : orders.runs) {
            if (m_ordered.insert({index, order.run}).second) {
                after(OrderDelay, [this, index, life, order] {
                    start(index, life, order);
                });
            }
        }
        for (const auto &run : orders.stops) {
            if (host.isUp() && m_stopped.insert({index, life, run}).second) {
                after(OrderDelay, [this, index, life, run] {
                    stop(index, life, run);
                });
            }
        }
    }

    void start(std::size_t index, std::uint64_t life, const batch::RunOrder &order)
    {
        SimulatedHost &host = m_hosts[index];
        if (host.life() != life || !host.isUp() || m_stopped.contains({index, life, order.run})) {
            return;
        }
        const Arrival &arrival = *m_arrivals.at(order.run.task.job);
        const batch::Step &step = arrival.job.steps[order.run.task.step];
        SimulatedRun run;
        run.startedAt = m_now + (order.checkpoint.empty() ? std::chrono::milliseconds(0) : RestoreTime);
        run.doneBefore = decodeCheckpoint(order.checkpoint);
        run.hasCheckpoints = step.hasCheckpoints;
        run.cores = batch::coreEquivalents(step.need);
        const auto work = arrival.tasks[order.run.task.step][order.run.task.index].work;
        const bool isAwayFromData = !step.dataRack.empty() && host.description().rack != step.dataRack;
        const double slowdown = isAwayFromData || isSpread(order.run, step) ? m_bounds.remoteFactor : 1.0;
        run.fullTime = batch::scaled(work, slowdown / host.description().speed);
        host.start(order.run, run);
        checkStart(host, order.run);
        noteStart(order.run);
        scheduleEnd(index, order.run, arrival.failureShare);
        reportSoon(index);
    }

    /** Whether the unit's gang spreads over several racks although it prefers one. */
    [[nodiscard]] bool isSpread(const batch::RunId &run, const batch::Step &step)
    {
        if (!step.isGang || !step.prefersSingleRack) {
            return false;
        }
        std::set<std::string> racks;
        for (const auto &member : m_workload.jobs().at(run.task.job).unit(run.task)->members) {
            racks.insert(m_hosts[m_hostIndex.at(member.host)].description().rack);
        }
        return racks.size() > 1;
    }

    /** Counts a start that no correct decision leads to. */
    void checkStart(const SimulatedHost &started, const batch::RunId &run)
    {
        batch::Resources used;
        for (const auto &other : started.runs()) {
            used += m_arrivals.at(other.task.job)->job.steps[other.task.step].need;
        }
        m_outcome.overcommitments += started.description().capacity.covers(used) ? 0 : 1;
        for (const auto &host : m_hosts) {
            for (const auto &other : host.runs()) {
                m_outcome.doubledStarts += other.task == run.task && other.attempt != run.attempt ? 1 : 0;
            }
        }
        m_outcome.doubledStarts += m_doneTasks.contains(run.task) ? 1 : 0;
    }

    void noteStart(const batch::RunId &run)
    {
        if (m_firstStart.emplace(run.task.job, m_now).second) {
            const Arrival &arrival = *m_arrivals.at(run.task.job);
            const auto wait = m_now - (Instant(Epoch) + arrival.at);
            m_outcome.classes[priorityOf(arrival)].waits.push_back(batch::toSeconds(wait));
        }
    }

    /** Lets the run, or all runs of its gang together, end when their work is done, unless one of them fails first. */
    void scheduleEnd(std::size_t index, const batch::RunId &run, double failureShare)
    {
        const SimulatedRun &simulated = *m_hosts[index].find(run);
        const auto left = batch::scaled(simulated.fullTime, 1.0 - simulated.doneBefore);
        const bool fails =
            m_hosts[index].isFailing() || uniform(run, Draw::IsFailing, 0, 1) < failureShare / (isGang(run) ? std::max<double>(gangSize(run), 1) : 1);
        const bool isHopeless = failureShare >= 1.0;
        if (fails || isHopeless) {
            const auto delay =
                m_hosts[index].isFailing() ? runtime::Clock::duration(FailureDelay) : batch::scaled(left, uniform(run, Draw::FailsAfter, 0.1, 0.9));
            after(delay, [this, index, life = m_hosts[index].life(), run] {
                endRun(index, life, run, batch::EndKind::Failed, "failed");
                breakGang(run, "failed");
            });
            return;
        }
        after(simulated.startedAt - m_now + left, [this, index, life = m_hosts[index].life(), run] {
            finish(index, life, run);
        });
    }

    [[nodiscard]] bool isGang(const batch::RunId &run) const
    {
        return m_arrivals.at(run.task.job)->job.steps[run.task.step].isGang;
    }
    [[nodiscard]] std::size_t gangSize(const batch::RunId &run) const
    {
        return m_arrivals.at(run.task.job)->job.steps[run.task.step].tasks;
    }

    void finish(std::size_t index, std::uint64_t life, const batch::RunId &run)
    {
        SimulatedHost &host = m_hosts[index];
        if (host.life() != life || host.find(run) == nullptr || host.find(run)->isStopping) {
            return;
        }
        if (!isGang(run)) {
            endRun(index, life, run, batch::EndKind::Done, "");
            return;
        }
        auto &finished = m_finishedMembers[{run.task.job, run.attempt.value()}];
        finished.insert(run.task.index);
        if (finished.size() == gangSize(run)) {
            forMembers(run, [&](std::size_t memberHost, const batch::RunId &member) {
                endRun(memberHost, m_hosts[memberHost].life(), member, batch::EndKind::Done, "");
            });
        }
    }

    /** Calls the function with each member of the run's gang that is running. */
    template<typename Function>
    void forMembers(const batch::RunId &run, Function function)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            for (const auto &other : m_hosts[i].runs()) {
                if (other.task.job == run.task.job && other.task.step == run.task.step && other.attempt == run.attempt) {
                    function(i, other);
                }
            }
        }
    }

    /** Ends the other members of a gang of which one has ended, for the same cause. */
    void breakGang(const batch::RunId &run, const std::string &cause)
    {
        if (!isGang(run)) {
            return;
        }
        forMembers(run, [&](std::size_t host, const batch::RunId &member) {
            endRun(host, m_hosts[host].life(), member, batch::EndKind::Broken, cause);
        });
    }

    void endRun(std::size_t index, std::uint64_t life, const batch::RunId &run, batch::EndKind kind, const std::string &cause)
    {
        SimulatedHost &host = m_hosts[index];
        if (host.life() != life || host.find(run) == nullptr) {
            return;
        }
        const double lost = host.end(run, kind, m_now);
        if (kind == batch::EndKind::Done) {
            m_doneTasks.insert(run.task);
        }
        if (lost > 0) {
            m_outcome.lostWork[cause] += lost;
        }
        reportSoon(index);
    }

    void stop(std::size_t index, std::uint64_t life, const batch::RunId &run)
    {
        SimulatedHost &host = m_hosts[index];
        if (host.life() != life || !host.isUp()) {
            return;
        }
        SimulatedRun *running = host.find(run);
        if (running == nullptr) {
            host.bar(run);
            reportSoon(index);
            return;
        }
        running->isStopping = true;
        std::string cause = "unknown";
        if (const auto job = m_workload.jobs().find(run.task.job); job != m_workload.jobs().end()) {
            cause = batch::stopReasonText(job->second.unit(run.task)->stopReason);
        }
        after(batch::scaled(m_bounds.killGrace, uniform(run, Draw::StopTime, 0.1, 1.0)), [this, index, life, run, cause] {
            endRun(index, life, run, batch::EndKind::Stopped, cause);
            breakGang(run, cause);
        });
    }

    [[nodiscard]] std::uint32_t priorityOf(const Arrival &arrival) const
    {
        return m_load.policy->queues.at(arrival.job.queue).priority;
    }

    void sumUp()
    {
        for (const auto &[id, arrival] : m_arrivals) {
            ClassOutcome &result = m_outcome.classes[priorityOf(*arrival)];
            const batch::Job &job = m_workload.jobs().at(id);
            if (arrival->failureShare >= 1.0) {
                continue;
            }
            const auto age = std::chrono::milliseconds(job.endedMs - job.spec.acceptedMs);
            const auto openFor = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - (Instant(Epoch) + arrival->at));
            if (!batch::isEnded(job.status) && openFor < arrival->objective) {
                continue;
            }
            ++result.jobs;
            result.owed += arrival->worth;
            if (job.status == batch::JobStatus::Complete && age <= arrival->objective) {
                ++result.inTime;
                result.earned += arrival->worth;
            } else if (job.status == batch::JobStatus::Complete && age <= LateObjectives * arrival->objective) {
                ++result.late;
                result.earned += arrival->lateWorth;
            } else {
                ++result.unserved;
            }
        }
    }

    const Load &m_load;
    const batch::PlannerBounds &m_bounds;
    batch::Workload m_workload;
    batch::Planner m_planner;
    std::vector<SimulatedHost> m_hosts;
    std::map<batch::HostId, std::size_t> m_hostIndex;
    std::map<base::JobId, const Arrival *> m_arrivals;
    std::map<base::JobId, Instant> m_firstStart;
    /** Orders that a host has received already, so that repeated ones are not carried out again. */
    std::set<std::pair<std::size_t, batch::RunId>> m_ordered;
    /** Stops that a life of a host has received already; the next life doesn't know of them. */
    std::set<std::tuple<std::size_t, std::uint64_t, batch::RunId>> m_stopped;
    std::map<std::pair<base::JobId, std::uint64_t>, std::set<std::uint32_t>> m_finishedMembers;
    std::set<batch::TaskId> m_doneTasks;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    Instant m_now{Epoch};
    bool m_isRoundDue = false;
    Outcome m_outcome;
};

} // namespace

double Outcome::totalLostWork() const
{
    double total = 0;
    for (const auto &[cause, lost] : lostWork) {
        total += lost;
    }
    return total;
}

double Outcome::worth() const
{
    double earned = 0;
    double owed = 0;
    for (const auto &[priority, result] : classes) {
        earned += result.earned;
        owed += result.owed;
    }
    return owed > 0 ? (earned - totalLostWork() * LostWorkPrice) / owed : 0;
}

Outcome play(const Load &load, const batch::PlannerBounds &bounds, const batch::WorkloadBounds &workloadBounds)
{
    return Playback(load, bounds, workloadBounds).run();
}

} // namespace plantainfork::bench
