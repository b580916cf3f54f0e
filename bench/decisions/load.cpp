#include "decisions/load.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <utility>

namespace plantainfork::bench
{

namespace
{

constexpr std::size_t HostsPerRack = 13;
constexpr std::size_t DataCentres = 6;
constexpr std::size_t Workspaces = 24;
/** Share of all accelerators that is guaranteed to workspaces. */
constexpr double GuaranteedShare = 0.62;
constexpr batch::Resources HostCapacity{64'000, 262'144, 8};
/** Hosts for which the arrival rates below are given. */
constexpr double RateHosts = 160.0;
constexpr double EstimateError = 0.2;
/** Bounds of a job's worth relative to the mean of its queue: a fixed part, and a part that grows with its work up to a limit. */
constexpr double FixedWorth = 0.3;
constexpr double MaxRelativeWork = 4.0;

struct JobClass {
    const char *queue;
    std::uint32_t priority;
    double ratePerSecond;
    double meanWidth;
    std::uint32_t maxWidth;
    std::chrono::milliseconds meanWork;
    double workSpread;
    std::chrono::milliseconds maxWork;
    double unevenness;
    batch::Resources need;
    std::array<std::int64_t, 5> accelerators;
    bool isGang;
    double singleRackShare;
    double checkpointShare;
    double dataRackShare;
    double failureShare;
    double hopelessShare;
    double slackFactor;
    std::chrono::milliseconds latencyTarget;
    double worth;
    double lateWorth;
};

constexpr std::array Classes{
    JobClass{"close",
             1,
             0.696,
             13.0,
             76,
             std::chrono::milliseconds(11'000),
             0.3,
             std::chrono::milliseconds(11'000),
             0.3,
             {26'000, 140'000, 0},
             {1, 2, 4, 8, 8},
             true,
             0.6,
             0.45,
             0.3,
             0.02,
             0.01,
             3.0,
             std::chrono::milliseconds(1'500),
             3.0,
             0.9},
    JobClass{"count",
             0,
             3.47,
             5.3,
             32,
             std::chrono::milliseconds(2'500),
             0.5,
             std::chrono::milliseconds(8'000),
             0.15,
             {7'500, 39'000, 0},
             {1, 2, 4, 8, 8},
             true,
             0.8,
             0.0,
             0.0,
             0.05,
             0.0,
             1.5,
             std::chrono::milliseconds(600),
             4.0,
             0.8},
    JobClass{"check",
             2,
             1.07,
             38.0,
             230,
             std::chrono::milliseconds(6'100),
             0.3,
             std::chrono::milliseconds(11'000),
             0.3,
             {5'600, 23'000, 0},
             {1, 1, 1, 1, 1},
             false,
             0.0,
             0.45,
             0.12,
             0.005,
             0.03,
             3.0,
             std::chrono::milliseconds(3'000),
             1.0,
             0.3},
};

class LoadBuilder
{
public:
    explicit LoadBuilder(const LoadOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    Load build()
    {
        m_load.length = m_options.length;
        addHosts();
        addPolicy();
        for (const auto &jobClass : Classes) {
            addArrivals(jobClass);
        }
        addIncidents();
        std::sort(m_load.arrivals.begin(), m_load.arrivals.end(), [](const Arrival &a, const Arrival &b) {
            return a.at < b.at;
        });
        std::sort(m_load.incidents.begin(), m_load.incidents.end(), [](const HostIncident &a, const HostIncident &b) {
            return a.at < b.at;
        });
        for (std::size_t i = 0; i < m_load.arrivals.size(); ++i) {
            m_load.arrivals[i].job.id = base::JobId("job-" + std::to_string(i));
        }
        return std::move(m_load);
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    bool chance(double share)
    {
        return uniform(0, 1) < share;
    }
    /** A positive value of that mean; `spread` is the standard deviation of its logarithm. */
    double logNormal(double mean, double spread)
    {
        return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(m_random);
    }

    void addHosts()
    {
        constexpr std::array Speeds{0.8, 1.0, 1.25};
        for (std::size_t i = 0; i < m_options.hosts; ++i) {
            LoadHost host;
            const std::size_t dataCentre = i % DataCentres;
            host.name = "host-" + std::to_string(i);
            host.dataCentre = "dc-" + std::to_string(dataCentre);
            host.rack = "r" + std::to_string(dataCentre) + "-" + std::to_string(i / DataCentres / HostsPerRack);
            host.capacity = HostCapacity;
            host.speed = Speeds[std::uniform_int_distribution<std::size_t>(0, Speeds.size() - 1)(m_random)];
            m_load.hosts.push_back(std::move(host));
        }
    }

    void addPolicy()
    {
        m_load.policy = std::make_shared<batch::Policy>();
        m_load.policy->version = 1;
        for (const auto &jobClass : Classes) {
            batch::Queue queue;
            queue.id = batch::QueueId(jobClass.queue);
            queue.service = base::ServiceId("ledger");
            queue.priority = jobClass.priority;
            queue.maxFailures = 3;
            queue.slackFactor = jobClass.slackFactor;
            queue.latencyTarget = jobClass.latencyTarget;
            m_load.policy->queues[queue.id] = queue;
        }
        const double total = static_cast<double>(m_options.hosts) * static_cast<double>(HostCapacity.accelerators) * GuaranteedShare;
        for (std::size_t i = 0; i < Workspaces; ++i) {
            const base::WorkspaceId id("workspace-" + std::to_string(i));
            m_load.policy->workspaces[id] = {id, static_cast<std::int64_t>(total / Workspaces)};
        }
    }

    /** Factor on a class's rate at a time. */
    [[nodiscard]] double burst(const JobClass &jobClass, double second) const
    {
        const bool isUrgentBurst = m_options.scenario != Scenario::Calm && jobClass.priority == 0 && second >= 3.9 && second < 9.9;
        const bool isPatientBurst = m_options.scenario == Scenario::Losses && jobClass.priority == 2 && second >= 8.6 && second < 12.8;
        return isUrgentBurst ? 2.3 : isPatientBurst ? 2.8 : 1.0;
    }

    void addArrivals(const JobClass &jobClass)
    {
        const double rate = jobClass.ratePerSecond * static_cast<double>(m_options.hosts) / RateHosts * m_options.intensity;
        const double end = std::chrono::duration<double>(m_options.length).count();
        constexpr double HighestBurst = 3.0;
        double second = 0;
        while (true) {
            second += std::exponential_distribution<double>(rate * HighestBurst)(m_random);
            if (second >= end) {
                return;
            }
            if (chance(burst(jobClass, second) / HighestBurst)) {
                addJob(jobClass, std::chrono::milliseconds(static_cast<std::int64_t>(second * 1000)));
            }
        }
    }

    void addJob(const JobClass &jobClass, std::chrono::milliseconds at)
    {
        Arrival arrival;
        arrival.at = at;
        arrival.job.queue = batch::QueueId(jobClass.queue);
        arrival.job.service = base::ServiceId("ledger");
        arrival.job.workspace = base::WorkspaceId("workspace-" + std::to_string(std::uniform_int_distribution<std::size_t>(0, Workspaces - 1)(m_random)));
        arrival.job.payload = "payload";
        arrival.job.maxFailures = 3;
        arrival.failureShare = chance(jobClass.hopelessShare) ? 1.0 : jobClass.failureShare;
        batch::Step step;
        step.tasks = static_cast<std::uint32_t>(std::clamp(std::round(logNormal(jobClass.meanWidth, 0.8)), 1.0, static_cast<double>(jobClass.maxWidth)));
        step.need = jobClass.need;
        step.need.accelerators = jobClass.accelerators[std::uniform_int_distribution<std::size_t>(0, jobClass.accelerators.size() - 1)(m_random)];
        step.isGang = jobClass.isGang;
        step.prefersSingleRack = jobClass.isGang && chance(jobClass.singleRackShare);
        step.hasCheckpoints = chance(jobClass.checkpointShare);
        if (chance(jobClass.dataRackShare)) {
            step.dataRack = m_load.hosts[std::uniform_int_distribution<std::size_t>(0, m_load.hosts.size() - 1)(m_random)].rack;
        }
        const auto highest = static_cast<double>(jobClass.maxWork.count());
        const double work = std::min(logNormal(static_cast<double>(jobClass.meanWork.count()), jobClass.workSpread), highest);
        double longest = 0;
        std::vector<SimulatedTask> tasks;
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            const double task = work * uniform(1.0 - jobClass.unevenness, 1.0 + jobClass.unevenness);
            longest = std::max(longest, task);
            tasks.push_back({std::chrono::milliseconds(static_cast<std::int64_t>(task))});
        }
        step.estimate = std::chrono::milliseconds(static_cast<std::int64_t>(work * uniform(1.0 - EstimateError, 1.0 + EstimateError)));
        arrival.objective = std::chrono::milliseconds(static_cast<std::int64_t>(longest * jobClass.slackFactor)) + jobClass.latencyTarget;
        const double relativeWork = work * step.tasks / (static_cast<double>(jobClass.meanWork.count()) * jobClass.meanWidth);
        const double size = FixedWorth + (1.0 - FixedWorth) * std::min(relativeWork, MaxRelativeWork);
        arrival.worth = jobClass.worth * size;
        arrival.lateWorth = jobClass.lateWorth * size;
        arrival.tasks.push_back(std::move(tasks));
        arrival.job.steps.push_back(std::move(step));
        m_load.arrivals.push_back(std::move(arrival));
    }

    void addIncidents()
    {
        if (m_options.scenario != Scenario::Losses) {
            return;
        }
        std::vector<std::size_t> order(m_load.hosts.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        std::shuffle(order.begin(), order.end(), m_random);
        const auto count = static_cast<std::size_t>(0.1 * static_cast<double>(order.size()));
        for (std::size_t i = 0; i < 3 * count && i < order.size(); ++i) {
            HostIncident incident;
            incident.host = order[i];
            incident.kind = i < count ? HostIncidentKind::Crash : i < 2 * count ? HostIncidentKind::Leave : HostIncidentKind::FailAll;
            incident.at = std::chrono::milliseconds(i < count ? 2'750 : i < 2 * count ? 8'360 : 11'100);
            incident.duration = std::chrono::milliseconds(i < count ? 4'450 : i < 2 * count ? 2'200 : 7'600);
            m_load.incidents.push_back(incident);
        }
    }

    LoadOptions m_options;
    std::mt19937_64 m_random;
    Load m_load;
};

} // namespace

Load createLoad(const LoadOptions &options)
{
    return LoadBuilder(options).build();
}

} // namespace plantainfork::bench
