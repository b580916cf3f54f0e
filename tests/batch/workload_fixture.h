/** Fixture for tests of the planner and the workload: a policy, hosts and jobs on a simulated clock; the test sets the hosts' reports. */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "batch/planner.h"
#include "batch/workload.h"

namespace plantainfork::tests
{

using namespace std::chrono_literals;

class WorkloadFixture
{
public:
    static constexpr std::uint64_t Token = 7;

    /** `unevenHostRatio` goes for the planner's bounds, too; see PlannerBounds. */
    explicit WorkloadFixture(double unevenHostRatio = 0)
        : WorkloadFixture(workloadBounds(unevenHostRatio))
    {
    }

    explicit WorkloadFixture(const batch::WorkloadBounds &bounds)
        : workload(base::FencingToken(Token), bounds, now)
        , planner(plannerBounds(bounds.unevenHostRatio))
    {
        policy->version = 1;
        addQueue("urgent", 0, 1.5, 600ms);
        addQueue("long", 1, 3.0, 1500ms);
        addQueue("patient", 2, 3.0, 3000ms);
        policy->workspaces[base::WorkspaceId("atlas")] = {base::WorkspaceId("atlas"), 8};
        policy->workspaces[base::WorkspaceId("rif")] = {base::WorkspaceId("rif"), 0};
        workload.setPolicy(policy);
    }

    void addQueue(const std::string &name, std::uint32_t priority, double slack, std::chrono::milliseconds target)
    {
        batch::Queue queue;
        queue.id = batch::QueueId(name);
        queue.host = "h.example";
        queue.prefix = "/" + name + "/";
        queue.service = base::ServiceId("ledger");
        queue.priority = priority;
        queue.maxFailures = 3;
        queue.slackFactor = slack;
        queue.latencyTarget = target;
        policy->queues[queue.id] = queue;
    }

    /** Adds a host with 8 accelerators and 64 cores; sendReport() reports its running and ended runs. */
    void addHost(const std::string &name, const std::string &rack, const std::string &dataCentre = "pens")
    {
        auto &call = m_calls[name];
        call.host = batch::HostId(name);
        call.agentIncarnation = 1;
        call.hasReport = true;
        call.isExecutorReached = true;
        call.report.incarnation = {"i-" + name, 1};
        call.report.service = base::ServiceId("ledger");
        call.report.dataCentre = base::DataCentreId(dataCentre);
        call.report.capacity = {64'000, 256'000, 8};
        call.report.labels = {"a", rack};
        call.listToken = base::FencingToken(Token);
        sendReport(name);
    }

    batch::SyncCall &call(const std::string &host)
    {
        return m_calls.at(host);
    }

    /** Sends the host's report to the workload. */
    void sendReport(const std::string &host)
    {
        auto &call = m_calls.at(host);
        ++call.sequence;
        workload.applySync(call, now, wallNow());
    }

    /** Advances the clock; all hosts but the silent ones report, so that they don't count as unreachable. */
    void advanceClock(std::chrono::milliseconds time)
    {
        now += time;
        for (const auto &[host, call] : m_calls) {
            if (!silentHosts.contains(host)) {
                sendReport(host);
            }
        }
        workload.expireSilentHosts(now, wallNow());
        workload.updateHostLosses(now);
    }

    batch::Job &addJob(const std::string &id, const std::string &queue, const std::string &workspace, std::vector<batch::Step> steps)
    {
        batch::JobSpec spec;
        spec.id = base::JobId(id);
        spec.queue = batch::QueueId(queue);
        spec.service = base::ServiceId("ledger");
        spec.workspace = base::WorkspaceId(workspace);
        spec.payload = "payload";
        spec.steps = std::move(steps);
        spec.acceptedMs = wallNow().time_since_epoch().count();
        spec.maxFailures = 3;
        workload.addJob(std::move(spec), std::nullopt, now, wallNow());
        return workload.jobs().at(base::JobId(id));
    }

    static batch::Step step(std::uint32_t tasks, std::int64_t accelerators, std::chrono::milliseconds estimate)
    {
        batch::Step step;
        step.tasks = tasks;
        step.need = {1000, 1000, accelerators};
        step.estimate = estimate;
        return step;
    }
    static batch::Step gang(std::uint32_t tasks, std::int64_t accelerators, std::chrono::milliseconds estimate)
    {
        batch::Step result = step(tasks, accelerators, estimate);
        result.isGang = true;
        return result;
    }

    /** Plans one round and applies the plan to the workload. */
    batch::Plan runRound()
    {
        workload.removeDoneUnits();
        workload.updateSpeeds(now);
        batch::Plan plan = planner.plan(workload, evacuated, now, wallNow());
        for (const auto &stop : plan.stops) {
            workload.stop(stop.unit, stop.reason);
        }
        for (const auto &placement : plan.placements) {
            workload.place(placement.unit, placement.hosts, now);
        }
        workload.noteService(plan.serviceUse, plan.passedOver, now);
        workload.noteWaitingNearData(plan.waitingNearData, now);
        return plan;
    }

    /** The host reports every run that it was ordered to start as running, with the given progress in percent. */
    void reportOrdersRunning(const std::string &host, std::uint32_t percent)
    {
        auto &syncCall = m_calls.at(host);
        syncCall.running.clear();
        for (const auto &order : workload.ordersFor(workload.hosts().at(batch::HostId(host))).runs) {
            syncCall.running.push_back({order.run, "", percent});
        }
        sendReport(host);
    }

    /** The host reports that the run has ended. */
    void reportEnd(const std::string &host, const batch::RunId &run, batch::EndKind kind, const std::string &checkpoint = "")
    {
        auto &syncCall = m_calls.at(host);
        std::erase_if(syncCall.running, [&](const batch::Running &running) {
            return running.run == run;
        });
        syncCall.ended.push_back({syncCall.ended.size() + 1, run, kind, checkpoint});
        sendReport(host);
    }

    static batch::RunId run(const std::string &job, std::uint32_t step, std::uint32_t index, std::uint64_t attempt)
    {
        return {{base::JobId(job), 0, step, index}, batch::Attempt(attempt)};
    }

    [[nodiscard]] batch::WallTime wallNow() const
    {
        return batch::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
    }

    batch::Instant now = batch::Instant(1000s);
    std::shared_ptr<batch::Policy> policy = std::make_shared<batch::Policy>();
    batch::Workload workload;
    batch::Planner planner;
    std::set<base::DataCentreId> evacuated;
    /** Hosts whose agents don't report. */
    std::set<std::string> silentHosts;

private:
    static batch::WorkloadBounds workloadBounds(double unevenHostRatio)
    {
        batch::WorkloadBounds bounds;
        bounds.unevenHostRatio = unevenHostRatio;
        return bounds;
    }
    static batch::PlannerBounds plannerBounds(double unevenHostRatio)
    {
        batch::PlannerBounds bounds{3.0, 900ms};
        bounds.unevenHostRatio = unevenHostRatio;
        return bounds;
    }

    std::map<std::string, batch::SyncCall> m_calls;
};

inline batch::Unit &unitOf(WorkloadFixture &fixture, const std::string &job, std::size_t index = 0)
{
    return fixture.workload.jobs().at(base::JobId(job)).units.at(index);
}

} // namespace plantainfork::tests
