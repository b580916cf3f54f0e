/** What the core is compared with: first come, first served in whatever place fits, without guarantees, holds or preemption. */
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scheduling/model.h"
#include "scheduling/resources.h"

namespace plantainfork::bench
{

enum class Fit {
    First,
    Worst,
    Random,
};

class Baseline
{
public:
    explicit Baseline(Fit fit);
    [[nodiscard]] scheduling::Decision handle(const scheduling::Event &event, runtime::Instant now);

private:
    struct Host {
        scheduling::WorkerUpdated lastUpdate;
        scheduling::Resources free;
        bool isLost = false;
    };
    struct Gang {
        scheduling::JobSpec job;
        scheduling::Placement placement;
        std::uint32_t finished = 0;
        bool isCancelled = false;
        bool isStopping = false;
    };

    void on(const scheduling::WorkerUpdated &event);
    void on(const scheduling::WorkerLost &event);
    void on(const scheduling::ConfigChanged &event);
    void on(const scheduling::JobSubmitted &event);
    void on(const scheduling::JobCancelled &event);
    void on(const scheduling::TaskEnded &event);
    void on(const scheduling::GangStopped &event);
    template<typename Other>
    void on(const Other &)
    {
    }
    void stop(Gang &gang);
    void release(const Gang &gang);
    void fill();
    [[nodiscard]] scheduling::Placement find(const wire::Shape &shape);

    Fit m_fit;
    std::mt19937_64 m_random{1};
    std::map<base::MemberId, Host> m_hosts;
    std::set<base::DataCentreId> m_out;
    std::list<scheduling::JobSpec> m_queue;
    std::map<base::JobId, Gang> m_gangs;
    scheduling::Decision m_decision;
};

} // namespace plantainfork::bench
