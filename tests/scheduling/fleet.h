/** A simulated fleet for tests of the scheduling core: it sends events, applies the commands and checks each decision. */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/core.h"
#include "scheduling/model.h"

namespace plantainfork::tests
{

/** A gang that was started by the core and has not ended. */
struct LiveGang {
    scheduling::JobSpec job;
    scheduling::StartGang start;
    /** The placement without the workers that were lost since the start. */
    scheduling::Placement occupied;
    bool isRunning = false;
    bool isStopping = false;
};

class Fleet
{
public:
    explicit Fleet(scheduling::Options options = {});

    // Configuration.
    void addTemplate(const std::string &name, wire::Shape shape);
    void addGrant(const std::string &workspace, const std::string &templateName, std::uint32_t gangs, std::vector<std::string> dataCentres = {});
    void setMode(const std::string &dataCentre, wire::DataCentreMode mode);
    void setConfig(wire::Config config);
    void configure();

    // Events.
    [[nodiscard]] scheduling::WorkerUpdated
    worker(const std::string &id, const std::string &rack, std::uint32_t accelerators, const std::string &dataCentre = "a") const;
    scheduling::Decision updateWorker(const scheduling::WorkerUpdated &worker);
    scheduling::Decision loseWorker(const std::string &worker);
    /** Adds workers with 8 accelerators and 64 cores each, three per rack, named DATACENTRE-w0 and up. */
    void addWorkers(unsigned count, const std::string &dataCentre = "a");
    [[nodiscard]] scheduling::JobSpec job(const std::string &id, const std::string &workspace, const std::string &templateName) const;
    scheduling::Decision submit(const scheduling::JobSpec &job);
    scheduling::Decision cancel(const std::string &id);
    scheduling::Decision started(const std::string &id);
    scheduling::Decision stopped(const std::string &id, std::chrono::milliseconds checkpointed = {});
    scheduling::Decision finished(const std::string &id);
    scheduling::Decision failed(const std::string &id, std::uint32_t rank = 0);
    scheduling::Decision refused(const std::string &id, const std::string &member);
    scheduling::Decision restore(const scheduling::JobSpec &job, const scheduling::Placement &placement);
    /** Replaces the core by a new one and sends it the workers, the configuration, the gangs and the waiting jobs. */
    void failOver();
    scheduling::Decision handle(const scheduling::Event &event);
    scheduling::Decision advance(std::chrono::milliseconds step);

    [[nodiscard]] bool isLive(const std::string &id) const;
    [[nodiscard]] bool isStopping(const std::string &id) const;
    [[nodiscard]] const LiveGang &gang(const std::string &id) const;
    [[nodiscard]] const std::map<base::JobId, LiveGang> &gangs() const;
    [[nodiscard]] std::optional<scheduling::JobOutcome> outcome(const std::string &id) const;
    /** Submitted jobs that have no outcome yet. */
    [[nodiscard]] std::vector<std::string> openJobs() const;
    [[nodiscard]] const std::map<base::MemberId, scheduling::WorkerUpdated> &workers() const;
    [[nodiscard]] const wire::Config &config() const;
    [[nodiscard]] scheduling::Core &core();
    [[nodiscard]] runtime::Instant now() const;

    /** Violated invariants, from checks of past commands and of the current state; empty if there are none. */
    [[nodiscard]] std::vector<std::string> violations();

private:
    void applyDecision(const scheduling::Decision &decision);
    void checkStart(const scheduling::StartGang &start);
    void checkStop(const scheduling::StopGang &stop);
    /** Defects of a placement, one phrase each. */
    [[nodiscard]] std::vector<std::string> placementFaults(const scheduling::Placement &placement, const wire::Shape &shape) const;
    void checkGrants(std::map<std::pair<base::WorkspaceId, base::TemplateId>, std::uint32_t> &accountedGangs, std::vector<std::string> &found) const;
    [[nodiscard]] wire::AttemptId attemptOf(const std::string &id) const;

    scheduling::Options m_options;
    scheduling::Core m_core;
    wire::Config m_config;
    runtime::Instant m_now{std::chrono::hours(1)};
    std::map<base::MemberId, scheduling::WorkerUpdated> m_workers;
    std::map<base::JobId, scheduling::JobSpec> m_submitted;
    std::map<base::JobId, LiveGang> m_gangs;
    std::map<base::JobId, scheduling::JobOutcome> m_outcomes;
    /** Violations found while commands were applied. */
    std::vector<std::string> m_violations;
};

} // namespace plantainfork::tests
