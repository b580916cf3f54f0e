/** Synthetic fleets and arrivals for the policy bench, from printed seeds. */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scheduling/model.h"

namespace plantainfork::bench
{

/** What happens to the fleet on the way. */
struct Incident {
    std::chrono::seconds at{0};
    scheduling::Event event;
    /** Every open job whose id has this prefix is cancelled instead, unless it is empty. */
    std::string cancelPrefix;
};

struct Arrival {
    scheduling::JobSpec job;
    /** What it really takes; the declared time may be far off. */
    std::chrono::seconds actual{0};
};

struct Trace {
    std::string name;
    std::uint64_t seed = 0;
    std::chrono::seconds length{0};
    std::vector<scheduling::WorkerUpdated> workers;
    std::shared_ptr<const wire::Config> config;
    /** In order of their submission; `submitted` counts from the clock's epoch. */
    std::vector<Arrival> arrivals;
    std::vector<Incident> incidents;
    /** Workers on which every task fails. */
    std::vector<base::MemberId> failing;
    /** While a data centre is out; empty when none is. */
    std::chrono::seconds outFrom{0};
    std::chrono::seconds outUntil{0};
};

enum class Deployment {
    Herd,
    Studio,
};

/** The two deployments of the brief, plain and with what goes wrong. */
[[nodiscard]] std::vector<Trace> deploymentTraces(Deployment deployment, std::uint64_t seed);
/** The size to design for, or a fraction of it. */
[[nodiscard]] Trace designedSize(double fraction, std::uint64_t seed, std::chrono::seconds length);

} // namespace plantainfork::bench
