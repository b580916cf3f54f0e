/**
 * Random sequences of jobs, failures, data centres taken out of service, configuration changes and failovers. No invariant
 * may be violated after any step. At the end all guarantees are claimed at the same time and must be met.
 *
 * The seed is fixed. To use another one: RC_PARAMS="seed=7 max_success=10000" build/bin/scheduling_test "[random]"
 */
#include <cstdlib>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "scheduling/fleet.h"

namespace plantainfork::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr const char *DefaultParameters = "seed=20261204 max_success=400 max_size=120";

/** Derives several bounded numbers from one generated number. */
class Choice
{
public:
    explicit Choice(std::uint32_t value)
        : m_value(value)
    {
    }
    std::uint32_t below(std::uint32_t bound)
    {
        const std::uint32_t result = m_value % bound;
        m_value /= bound;
        return result;
    }

private:
    std::uint32_t m_value;
};

class Schedule
{
public:
    explicit Schedule(std::uint32_t seed)
    {
        Choice choice(seed);
        m_fleet.addTemplate("single", {1, 1, 4, 1024, wire::Adjacency::DataCentre});
        m_fleet.addTemplate("half", {1, 4, 16, 4096, wire::Adjacency::Host});
        m_fleet.addTemplate("pair", {2, 4, 8, 4096, wire::Adjacency::Rack});
        m_fleet.addTemplate("rack", {3, 8, 32, 4096, wire::Adjacency::Rack});
        m_fleet.addTemplate("wide", {5, 3, 8, 1024, wire::Adjacency::DataCentre});
        m_fleet.addTemplate("cores", {4, 0, 24, 1024, wire::Adjacency::DataCentre});
        m_fleet.setMode("a", wire::DataCentreMode::In);
        m_fleet.setMode("b", wire::DataCentreMode::In);
        m_fleet.addWorkers(3 + choice.below(7), "a");
        m_fleet.addWorkers(1 + choice.below(6), "b");
        m_fleet.configure();
    }

    void step(std::uint32_t number)
    {
        Choice choice(number);
        switch (choice.below(12)) {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit(choice);
        case 4:
        case 5:
            return answerGang(choice);
        case 6:
            return changeWorker(choice);
        case 7:
            return changeGrant(choice);
        case 8:
            m_fleet.setMode(choice.below(2) == 0 ? "a" : "b", choice.below(2) == 0 ? wire::DataCentreMode::In : wire::DataCentreMode::Out);
            return m_fleet.configure();
        case 9:
            return cancel(choice);
        case 10:
            (void)m_fleet.advance(std::chrono::seconds(1) * (1 + choice.below(400)));
            return;
        default:
            return choice.below(4) == 0 ? m_fleet.failOver() : answerGang(choice);
        }
    }

    /** Submits a job for each guaranteed gang, and confirms stops and starts until the preemptions are done. */
    void claimAllGuarantees()
    {
        for (const auto &[workspace, value] : m_fleet.config().workspaces) {
            for (const wire::Grant &grant : value.value.grants) {
                for (std::uint32_t gang = 0; gang < grant.guaranteedGangs; ++gang) {
                    const std::string id = workspace.value() + grant.templateId.value() + std::to_string(gang);
                    (void)m_fleet.submit(m_fleet.job("claim-" + id, workspace.value(), grant.templateId.value()));
                }
            }
        }
        // Several rounds are needed: victims that were restarted elsewhere may be preempted again.
        for (int round = 0; round < 20; ++round) {
            const auto gangs = m_fleet.gangs();
            for (const auto &[id, gang] : gangs) {
                if (m_fleet.isStopping(id.value())) {
                    (void)m_fleet.stopped(id.value());
                } else if (m_fleet.isLive(id.value()) && !gang.isRunning) {
                    (void)m_fleet.started(id.value());
                }
            }
            (void)m_fleet.advance(1s);
        }
    }

    [[nodiscard]] std::vector<std::string> unservedGuarantees()
    {
        std::map<std::pair<base::WorkspaceId, base::TemplateId>, std::uint32_t> served;
        for (const auto &[id, gang] : m_fleet.gangs()) {
            // A gang on borrowed capacity counts as well: if it is preempted, it resumes in the place reserved for it.
            ++served[{gang.job.workspace, gang.job.templateId}];
        }
        for (const auto &unmet : m_fleet.core().unmetGuarantees()) {
            served[{unmet.workspace, unmet.templateId}] += unmet.gangs;
        }
        std::vector<std::string> found;
        for (const auto &[workspace, value] : m_fleet.config().workspaces) {
            for (const wire::Grant &grant : value.value.grants) {
                if (served[{workspace, grant.templateId}] < grant.guaranteedGangs) {
                    found.push_back(workspace.value() + "/" + grant.templateId.value() + " claimed its guarantee but was not served");
                }
            }
        }
        return found;
    }

    /** The state of jobs, grants and workers, for the report of a failed run. */
    [[nodiscard]] std::string describe()
    {
        std::string text;
        for (const std::string &id : m_fleet.openJobs()) {
            const auto explanation = m_fleet.core().explain(base::JobId(id));
            if (!explanation) {
                continue;
            }
            text += id + ": phase " + std::to_string(int(explanation->phase)) + ", tenure " + std::to_string(int(explanation->tenure)) + ", "
                + explanation->reason + ", on";
            for (const base::MemberId &member : explanation->placement) {
                text += ' ' + member.value();
            }
            text += '\n';
        }
        for (const auto &[workspace, value] : m_fleet.config().workspaces) {
            for (const wire::Grant &grant : value.value.grants) {
                text += workspace.value() + '/' + grant.templateId.value() + ": " + std::to_string(grant.guaranteedGangs) + " guaranteed\n";
            }
        }
        for (const auto &unmet : m_fleet.core().unmetGuarantees()) {
            text += "unmet: " + unmet.workspace.value() + '/' + unmet.templateId.value() + " " + std::to_string(unmet.gangs) + '\n';
        }
        for (const auto &[id, worker] : m_fleet.workers()) {
            const bool isOut = m_fleet.config().dataCentres.at(worker.dataCentre).value.mode == wire::DataCentreMode::Out;
            text += id.value() + (isOut ? " out" : "") + (worker.state == wire::MemberState::Alive ? "" : " leaving") + '\n';
        }
        return text;
    }

    Fleet &fleet()
    {
        return m_fleet;
    }

private:
    static std::string templateName(Choice &choice)
    {
        static const std::vector<std::string> Names{"single", "half", "pair", "rack", "wide", "cores"};
        return Names[choice.below(static_cast<std::uint32_t>(Names.size()))];
    }

    static std::string workspaceName(Choice &choice)
    {
        return "w" + std::to_string(choice.below(3));
    }

    void submit(Choice &choice)
    {
        const std::string workspace = workspaceName(choice);
        auto job = m_fleet.job("j" + std::to_string(m_jobs++), workspace, templateName(choice));
        job.idempotent = choice.below(3) != 0;
        job.checkpointable = choice.below(2) == 0;
        job.urgency = wire::Urgency(choice.below(3));
        job.runTime = std::chrono::minutes(1 + choice.below(200));
        (void)m_fleet.submit(job);
    }

    void answerGang(Choice &choice)
    {
        if (m_fleet.gangs().empty()) {
            return;
        }
        auto entry = m_fleet.gangs().begin();
        std::advance(entry, choice.below(static_cast<std::uint32_t>(m_fleet.gangs().size())));
        const std::string id = entry->first.value();
        const LiveGang gang = entry->second;
        if (gang.isStopping) {
            (void)m_fleet.stopped(id, 1min);
        } else if (!gang.isRunning && choice.below(4) == 0) {
            (void)m_fleet.refused(id, gang.start.placement.back().value());
        } else if (!gang.isRunning) {
            (void)m_fleet.started(id);
        } else if (choice.below(3) == 0) {
            (void)m_fleet.failed(id, choice.below(gang.start.shape.members));
        } else {
            (void)m_fleet.finished(id);
        }
    }

    void cancel(Choice &choice)
    {
        const std::vector<std::string> open = m_fleet.openJobs();
        if (!open.empty()) {
            (void)m_fleet.cancel(open[choice.below(static_cast<std::uint32_t>(open.size()))]);
        }
    }

    void changeWorker(Choice &choice)
    {
        if (m_fleet.workers().empty()) {
            return;
        }
        auto entry = m_fleet.workers().begin();
        std::advance(entry, choice.below(static_cast<std::uint32_t>(m_fleet.workers().size())));
        scheduling::WorkerUpdated worker = entry->second;
        switch (choice.below(4)) {
        case 0:
            (void)m_fleet.loseWorker(worker.id.value());
            m_lost.push_back(worker);
            break;
        case 1:
            worker.state = worker.state == wire::MemberState::Alive ? wire::MemberState::Leaving : wire::MemberState::Alive;
            (void)m_fleet.updateWorker(worker);
            break;
        default:
            if (!m_lost.empty()) {
                (void)m_fleet.updateWorker(m_lost.back());
                m_lost.pop_back();
            }
        }
    }

    /** Changes a grant, unless checkGuarantees() rejects the change, as it does for operators. */
    void changeGrant(Choice &choice)
    {
        const std::string workspace = workspaceName(choice);
        const std::string name = templateName(choice);
        const std::uint32_t gangs = choice.below(4);
        const std::uint32_t where = choice.below(3);
        std::vector<scheduling::WorkerUpdated> inventory;
        for (const auto &[id, worker] : m_fleet.workers()) {
            inventory.push_back(worker);
        }
        wire::Config config = m_fleet.config();
        const std::vector<std::string> dataCentres = where == 0 ? std::vector<std::string>{} : std::vector<std::string>{where == 1 ? "a" : "b"};
        m_fleet.addGrant(workspace, name, gangs, dataCentres);
        if (scheduling::checkGuarantees(m_fleet.config(), inventory, scheduling::DataCentreScope::All).isEmpty()) {
            m_fleet.configure();
        } else {
            m_fleet.setConfig(std::move(config));
        }
    }

    Fleet m_fleet;
    std::vector<scheduling::WorkerUpdated> m_lost;
    unsigned m_jobs = 0;
};

} // namespace

TEST_CASE("Random schedules violate no invariant", "[random]")
{
    setenv("RC_PARAMS", DefaultParameters, 0);
    const bool isPassed = rc::check("random schedules", [](std::uint32_t seed, const std::vector<std::uint32_t> &steps) {
        Schedule schedule(seed);
        for (const std::uint32_t step : steps) {
            schedule.step(step);
            const auto violations = schedule.fleet().violations();
            if (!violations.empty()) {
                RC_LOG() << schedule.describe();
                RC_FAIL(violations.front());
            }
        }
        schedule.claimAllGuarantees();
        const auto violations = schedule.fleet().violations();
        if (!violations.empty()) {
            RC_FAIL(violations.front());
        }
        const auto unserved = schedule.unservedGuarantees();
        if (!unserved.empty()) {
            RC_LOG() << schedule.describe();
            RC_FAIL(unserved.front());
        }
    });
    REQUIRE(isPassed);
}

} // namespace plantainfork::tests
