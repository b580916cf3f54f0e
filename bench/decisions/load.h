/**
 * Synthetic loads for the decisions of the batch service, drawn from a seed: hosts in racks, queues of three priorities, workspaces with
 * guarantees, and what happens on the way. The figures describe the shape of a fleet of accelerator hosts on which whole-host gangs, short
 * urgent gangs and many small tasks compete.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "batch/model.h"

namespace plantainfork::bench
{

struct SimulatedTask {
    /** Run time on a host of speed 1 and near its data. */
    std::chrono::milliseconds work{0};
};

struct Arrival {
    std::chrono::milliseconds at{0};
    batch::JobSpec job;
    /** Actual run times by step and task; the job's estimates may be far off. */
    std::vector<std::vector<SimulatedTask>> tasks;
    /** Fraction of runs that fail, 0 to 1. */
    double failureShare = 0;
    /** What the job earns if it is complete within its objective, and if it is late. */
    double worth = 0;
    double lateWorth = 0;
    /** Time from arrival within which the job must be complete to earn its full worth. */
    std::chrono::milliseconds objective{0};
};

enum class HostIncidentKind {
    /** The host is gone without notice, and back with nothing running after `duration`. */
    Crash,
    /** The host says that it leaves, and is gone after `duration`. */
    Leave,
    /** The host's executor fails each run soon after its start, for `duration`. */
    FailAll,
};

struct HostIncident {
    std::chrono::milliseconds at{0};
    HostIncidentKind kind = HostIncidentKind::Crash;
    std::size_t host = 0;
    std::chrono::milliseconds duration{0};
};

struct LoadHost {
    std::string name;
    std::string rack;
    std::string dataCentre;
    batch::Resources capacity;
    /** Speed of work relative to the tasks' run times. */
    double speed = 1.0;
};

/** A load of one seed: everything that the playback needs, and nothing that depends on decisions. */
struct Load {
    std::vector<LoadHost> hosts;
    std::shared_ptr<batch::Policy> policy;
    /** In order of time. */
    std::vector<Arrival> arrivals;
    /** In order of time. */
    std::vector<HostIncident> incidents;
    std::chrono::milliseconds length{0};
};

enum class Scenario {
    Calm,
    /** Urgent jobs come at more than twice their rate for six seconds. */
    UrgentBurst,
    /** Urgent and patient jobs burst while hosts crash, leave at short notice or fail all runs. */
    Losses,
};

struct LoadOptions {
    std::size_t hosts = 160;
    Scenario scenario = Scenario::UrgentBurst;
    std::uint64_t seed = 1;
    /** Factor on the arrival rate per host. */
    double intensity = 1.0;
    std::chrono::milliseconds length{34'000};
};

[[nodiscard]] Load createLoad(const LoadOptions &options);

} // namespace plantainfork::bench
