#include "policy/trace.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

namespace plantainfork::bench
{

using namespace std::chrono_literals;

namespace
{

/** One kind of job in a mix. */
struct Kind {
    std::string name;
    wire::Shape shape;
    wire::Urgency urgency = wire::Urgency::Normal;
    bool idempotent = true;
    bool checkpointable = false;
    std::chrono::seconds meanRunTime{0};
    double perHour = 0;
    std::uint32_t guaranteedGangs = 0;
};

/** Declared times are off by up to this factor, either way. */
constexpr double WrongBy = 10;

class Generator
{
public:
    Generator(std::string name, std::uint64_t seed, std::chrono::seconds length)
        : m_random(seed)
    {
        m_trace.name = std::move(name);
        m_trace.seed = seed;
        m_trace.length = length;
    }

    void addWorker(const std::string &dataCentre, unsigned index, std::uint32_t accelerators, std::uint32_t cores, std::uint64_t memoryMiB)
    {
        scheduling::WorkerUpdated worker;
        worker.id = base::MemberId(dataCentre + "-" + std::to_string(index));
        worker.dataCentre = base::DataCentreId(dataCentre);
        worker.rack = base::RackId("r" + std::to_string(index / 3));
        worker.accelerators = accelerators;
        worker.cores = cores;
        worker.memoryMiB = memoryMiB;
        m_trace.workers.push_back(worker);
        m_config.dataCentres[worker.dataCentre].value.name = worker.dataCentre;
    }

    void addKinds(const std::vector<Kind> &kinds, unsigned workspaces, double wrongBy)
    {
        for (const Kind &kind : kinds) {
            wire::Template value;
            value.name = base::TemplateId(kind.name);
            value.kind = wire::WorkKind::Job;
            value.shape = kind.shape;
            m_config.templates[value.name].value = value;
            for (unsigned workspace = 0; workspace < workspaces; ++workspace) {
                const base::WorkspaceId id("w" + std::to_string(workspace));
                m_config.workspaces[id].value.name = id;
                if (workspace < kind.guaranteedGangs) {
                    wire::Grant grant;
                    grant.templateId = value.name;
                    grant.guaranteedGangs = 1;
                    m_config.workspaces[id].value.grants.push_back(grant);
                }
            }
            std::exponential_distribution<double> gap(kind.perHour * m_load / 3600);
            for (double at = gap(m_random); at < static_cast<double>(m_trace.length.count()); at += gap(m_random)) {
                arrive(kind, std::chrono::milliseconds(static_cast<std::int64_t>(at * 1000)), workspaces, wrongBy);
            }
        }
    }

    void setLoad(double load)
    {
        m_load = load;
    }

    void burst(const Kind &kind, std::chrono::seconds at, unsigned count, unsigned workspaces)
    {
        for (unsigned index = 0; index < count; ++index) {
            arrive(kind, at, workspaces, 1);
        }
    }

    Trace finish()
    {
        std::stable_sort(m_trace.arrivals.begin(), m_trace.arrivals.end(), [](const Arrival &left, const Arrival &right) {
            return left.job.submitted < right.job.submitted;
        });
        m_trace.config = std::make_shared<wire::Config>(m_config);
        return std::move(m_trace);
    }

    void setMode(const std::string &dataCentre, wire::DataCentreMode mode, std::chrono::seconds at)
    {
        m_config.dataCentres[base::DataCentreId(dataCentre)].value.mode = mode;
        m_trace.incidents.push_back({at, scheduling::ConfigChanged{std::make_shared<wire::Config>(m_config)}, {}});
        (mode == wire::DataCentreMode::Out ? m_trace.outFrom : m_trace.outUntil) = at;
    }

    Trace &trace()
    {
        return m_trace;
    }

private:
    void arrive(const Kind &kind, std::chrono::milliseconds at, unsigned workspaces, double wrongBy)
    {
        Arrival arrival;
        scheduling::JobSpec &job = arrival.job;
        job.id = base::JobId(kind.name + "-" + std::to_string(m_count++));
        job.workspace = base::WorkspaceId("w" + std::to_string(std::uniform_int_distribution<unsigned>(0, workspaces - 1)(m_random)));
        job.templateId = base::TemplateId(kind.name);
        job.shape = kind.shape;
        job.urgency = kind.urgency;
        job.idempotent = kind.idempotent;
        job.checkpointable = kind.checkpointable;
        const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
        arrival.actual = std::max(1s, std::chrono::seconds(static_cast<std::int64_t>(static_cast<double>(kind.meanRunTime.count()) * factor)));
        const double error = std::pow(wrongBy, std::uniform_real_distribution<double>(-1, 1)(m_random));
        job.runTime = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(arrival.actual.count()) * 1000 * error));
        job.submitted = runtime::Instant(at);
        m_trace.arrivals.push_back(std::move(arrival));
    }

    std::mt19937_64 m_random;
    wire::Config m_config;
    Trace m_trace;
    unsigned m_count = 0;
    /** Factor on all arrival rates. */
    double m_load = 1;
};

std::vector<Kind> mixOf(Deployment deployment)
{
    if (deployment == Deployment::Herd) {
        return {{"reconcile", {3, 8, 32, 32768, wire::Adjacency::Rack}, wire::Urgency::Patient, true, true, 3h, 0.35, 1},
                {"season", {1, 8, 32, 32768, wire::Adjacency::Host}, wire::Urgency::Normal, true, true, 2h, 1.0, 2},
                {"census", {1, 2, 8, 8192, wire::Adjacency::Host}, wire::Urgency::Normal, true, false, 40min, 8, 2},
                {"stray", {1, 1, 2, 2048, wire::Adjacency::Host}, wire::Urgency::Patient, false, false, 10min, 20, 0},
                {"calving", {1, 1, 4, 4096, wire::Adjacency::Host}, wire::Urgency::Urgent, true, false, 2min, 12, 0}};
    }
    return {{"nesting", {2, 8, 16, 16384, wire::Adjacency::Rack}, wire::Urgency::Normal, true, true, 2h, 0.7, 2},
            {"render", {1, 4, 8, 8192, wire::Adjacency::Host}, wire::Urgency::Normal, true, true, 90min, 3.0, 2},
            {"grading", {1, 2, 4, 4096, wire::Adjacency::Host}, wire::Urgency::Patient, true, false, 30min, 10, 0},
            {"scaling", {1, 1, 2, 2048, wire::Adjacency::Host}, wire::Urgency::Normal, false, false, 10min, 15, 0},
            {"proof", {1, 1, 2, 2048, wire::Adjacency::Host}, wire::Urgency::Urgent, true, false, 2min, 15, 0}};
}

Generator deployment(Deployment which, const std::string &variant, std::uint64_t seed)
{
    const bool isHerd = which == Deployment::Herd;
    Generator generator((isHerd ? "herd/" : "studio/") + variant, seed, 24h);
    const std::vector<std::pair<std::string, unsigned>> sites{{"a", 4}, {"b", 3}, {"c", 3}};
    for (const auto &[name, count] : sites) {
        for (unsigned index = 0; index < count; ++index) {
            generator.addWorker(name, index, 8, isHerd ? 64 : 32, isHerd ? 262144 : 131072);
        }
    }
    return generator;
}

} // namespace

std::vector<Trace> deploymentTraces(Deployment which, std::uint64_t seed)
{
    constexpr unsigned Workspaces = 4;
    const std::vector<Kind> mix = mixOf(which);
    std::vector<Trace> traces;
    const auto add = [&](const std::string &variant, double wrongBy, auto change) {
        Generator generator = deployment(which, variant, seed);
        generator.addKinds(mix, Workspaces, wrongBy);
        change(generator);
        traces.push_back(generator.finish());
    };
    add("plain", 1, [](Generator &) {});
    add("wrong-10x", WrongBy, [](Generator &) {});
    for (const double load : {1.3, 1.6}) {
        Generator generator = deployment(which, load < 1.5 ? "load-1.3" : "load-1.6", seed);
        generator.setLoad(load);
        generator.addKinds(mix, Workspaces, WrongBy);
        traces.push_back(generator.finish());
    }
    add("bursts", 1, [&](Generator &generator) {
        generator.burst(mix[2], 6h, 60, Workspaces);
        generator.burst(mix[0], 9h, 4, Workspaces);
    });
    add("cancel-wave", 1, [&](Generator &generator) {
        generator.burst(mix[2], 6h, 100, Workspaces);
        generator.trace().incidents.push_back({7h, scheduling::Tick{}, mix[2].name});
    });
    add("failing-worker", 1, [](Generator &generator) {
        generator.trace().failing.push_back(generator.trace().workers[1].id);
    });
    add("rack-lost", 1, [](Generator &generator) {
        for (unsigned index = 0; index < 3; ++index) {
            const scheduling::WorkerUpdated worker = generator.trace().workers[index];
            generator.trace().incidents.push_back({8h, scheduling::WorkerLost{worker.id}, {}});
            generator.trace().incidents.push_back({10h, worker, {}});
        }
    });
    add("take-out", 1, [&](Generator &generator) {
        generator.burst(mix[2], 7h, 120, Workspaces);
        generator.setMode("b", wire::DataCentreMode::Out, 8h);
        generator.setMode("b", wire::DataCentreMode::In, 10h);
    });
    return traces;
}

Trace designedSize(double fraction, std::uint64_t seed, std::chrono::seconds length)
{
    constexpr unsigned DataCentres = 9;
    constexpr unsigned Workspaces = 50;
    Generator generator("designed-size x " + std::to_string(fraction), seed, length);
    const auto workers = static_cast<unsigned>(9100 * fraction);
    const auto withAccelerators = static_cast<unsigned>(1250 * fraction);
    for (unsigned index = 0; index < workers; ++index) {
        const unsigned site = index % DataCentres;
        const bool hasAccelerators = index < withAccelerators;
        generator.addWorker("dc" + std::to_string(site), index / DataCentres, hasAccelerators ? 8 : 0, 64, 262144);
    }
    // 18,000 jobs a day for hours each, 150,000 tasks running, gangs of up to 256.
    const double scale = fraction;
    generator.addKinds({{"large", {256, 1, 4, 4096, wire::Adjacency::DataCentre}, wire::Urgency::Normal, true, true, 3h, 4 * scale, 4},
                        {"rack", {3, 8, 16, 16384, wire::Adjacency::Rack}, wire::Urgency::Normal, true, true, 4h, 25 * scale, 10},
                        {"host", {1, 8, 16, 16384, wire::Adjacency::Host}, wire::Urgency::Normal, true, true, 4h, 40 * scale, 25},
                        {"one", {1, 1, 4, 4096, wire::Adjacency::Host}, wire::Urgency::Patient, true, false, 3h, 200 * scale, 0},
                        {"sweep", {64, 0, 2, 2048, wire::Adjacency::DataCentre}, wire::Urgency::Normal, true, false, 6h, 300 * scale, 0},
                        {"tail", {256, 0, 1, 1024, wire::Adjacency::DataCentre}, wire::Urgency::Patient, true, true, 6h, 21 * scale, 0},
                        {"once", {1, 0, 4, 2048, wire::Adjacency::Host}, wire::Urgency::Normal, false, false, 1h, 100 * scale, 0},
                        {"urgent", {2, 1, 4, 4096, wire::Adjacency::Rack}, wire::Urgency::Urgent, true, false, 5min, 60 * scale, 0}},
                       Workspaces,
                       WrongBy);
    return generator.finish();
}

} // namespace plantainfork::bench
