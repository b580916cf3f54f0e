#include "scheduling/fleet.h"

#include <algorithm>
#include <set>

namespace plantainfork::tests
{

using namespace std::chrono_literals;
using scheduling::Decision;
using scheduling::Tenure;

namespace
{

/** Resources in use on each worker. */
class Usage
{
public:
    void add(const scheduling::Placement &placement, const wire::Shape &shape)
    {
        for (const base::MemberId &member : placement) {
            Taken &taken = m_taken[member];
            taken.accelerators += shape.acceleratorsPerMember;
            taken.cores += shape.coresPerMember;
            taken.memoryMiB += shape.memoryMiBPerMember;
        }
    }

    [[nodiscard]] bool has(const base::MemberId &worker) const
    {
        return m_taken.contains(worker);
    }

    [[nodiscard]] bool fits(const scheduling::WorkerUpdated &worker) const
    {
        const auto found = m_taken.find(worker.id);
        return found == m_taken.end()
            || (found->second.accelerators <= worker.accelerators && found->second.cores <= worker.cores && found->second.memoryMiB <= worker.memoryMiB);
    }

private:
    struct Taken {
        std::uint64_t accelerators = 0;
        std::uint64_t cores = 0;
        std::uint64_t memoryMiB = 0;
    };

    std::map<base::MemberId, Taken> m_taken;
};

} // namespace

Fleet::Fleet(scheduling::Options options)
    : m_options(options)
    , m_core(options)
{
}

void Fleet::addTemplate(const std::string &name, wire::Shape shape)
{
    wire::Template value;
    value.name = base::TemplateId(name);
    value.kind = wire::WorkKind::Job;
    value.shape = shape;
    m_config.templates[value.name].value = value;
}

void Fleet::addGrant(const std::string &workspace, const std::string &templateName, std::uint32_t gangs, std::vector<std::string> dataCentres)
{
    wire::Grant grant;
    grant.templateId = base::TemplateId(templateName);
    grant.guaranteedGangs = gangs;
    for (auto &name : dataCentres) {
        grant.dataCentres.emplace_back(std::move(name));
    }
    auto &value = m_config.workspaces[base::WorkspaceId(workspace)].value;
    value.name = base::WorkspaceId(workspace);
    std::erase_if(value.grants, [&](const wire::Grant &old) {
        return old.templateId == grant.templateId;
    });
    value.grants.push_back(grant);
}

void Fleet::setMode(const std::string &dataCentre, wire::DataCentreMode mode)
{
    auto &value = m_config.dataCentres[base::DataCentreId(dataCentre)].value;
    value.name = base::DataCentreId(dataCentre);
    value.mode = mode;
}

void Fleet::setConfig(wire::Config config)
{
    m_config = std::move(config);
}

void Fleet::configure()
{
    m_config.revision = m_config.revision.next();
    (void)handle(scheduling::ConfigChanged{std::make_shared<wire::Config>(m_config)});
}

scheduling::WorkerUpdated Fleet::worker(const std::string &id, const std::string &rack, std::uint32_t accelerators, const std::string &dataCentre) const
{
    scheduling::WorkerUpdated reported;
    reported.id = base::MemberId(id);
    reported.incarnation = base::Incarnation(1);
    reported.dataCentre = base::DataCentreId(dataCentre);
    reported.rack = base::RackId(rack);
    reported.accelerators = accelerators;
    reported.cores = 64;
    reported.memoryMiB = 256 * 1024;
    return reported;
}

Decision Fleet::updateWorker(const scheduling::WorkerUpdated &worker)
{
    m_workers[worker.id] = worker;
    return handle(worker);
}

Decision Fleet::loseWorker(const std::string &worker)
{
    m_workers.erase(base::MemberId(worker));
    // A worker counts as lost only once its lease has expired, and by then its tasks have ended.
    for (auto &[id, gang] : m_gangs) {
        std::erase(gang.occupied, base::MemberId(worker));
    }
    return handle(scheduling::WorkerLost{base::MemberId(worker)});
}

void Fleet::addWorkers(unsigned count, const std::string &dataCentre)
{
    for (unsigned index = 0; index < count; ++index) {
        (void)updateWorker(worker(dataCentre + "-w" + std::to_string(index), "r" + std::to_string(index / 3), 8, dataCentre));
    }
    // Lets the grace period pass after which the core considers the inventory complete.
    (void)advance(10s);
}

scheduling::JobSpec Fleet::job(const std::string &id, const std::string &workspace, const std::string &templateName) const
{
    scheduling::JobSpec spec;
    spec.id = base::JobId(id);
    spec.workspace = base::WorkspaceId(workspace);
    spec.templateId = base::TemplateId(templateName);
    const auto found = m_config.templates.find(spec.templateId);
    spec.shape = found == m_config.templates.end() ? wire::Shape{} : found->second.value.shape;
    spec.runTime = 1h;
    spec.submitted = m_now;
    return spec;
}

Decision Fleet::submit(const scheduling::JobSpec &job)
{
    m_submitted[job.id] = job;
    return handle(scheduling::JobSubmitted{job});
}

Decision Fleet::cancel(const std::string &id)
{
    return handle(scheduling::JobCancelled{base::JobId(id)});
}

wire::AttemptId Fleet::attemptOf(const std::string &id) const
{
    return m_gangs.at(base::JobId(id)).start.attempt;
}

Decision Fleet::started(const std::string &id)
{
    m_gangs.at(base::JobId(id)).isRunning = true;
    return handle(scheduling::GangStarted{attemptOf(id)});
}

Decision Fleet::stopped(const std::string &id, std::chrono::milliseconds checkpointed)
{
    const wire::AttemptId attempt = attemptOf(id);
    m_gangs.erase(base::JobId(id));
    return handle(scheduling::GangStopped{attempt, checkpointed});
}

Decision Fleet::finished(const std::string &id)
{
    const scheduling::StartGang start = m_gangs.at(base::JobId(id)).start;
    m_gangs.erase(base::JobId(id));
    Decision last;
    for (std::uint32_t rank = 0; rank < start.shape.members; ++rank) {
        last = handle(scheduling::TaskEnded{start.attempt, rank, wire::TaskState::Finished, {}, {}});
    }
    return last;
}

Decision Fleet::failed(const std::string &id, std::uint32_t rank)
{
    return handle(scheduling::TaskEnded{attemptOf(id), rank, wire::TaskState::Failed, {}, "exit 1"});
}

Decision Fleet::refused(const std::string &id, const std::string &member)
{
    const wire::AttemptId attempt = attemptOf(id);
    m_gangs.erase(base::JobId(id));
    return handle(scheduling::PrepareRefused{attempt, base::MemberId(member), "no room"});
}

Decision Fleet::restore(const scheduling::JobSpec &job, const scheduling::Placement &placement)
{
    m_submitted[job.id] = job;
    const scheduling::StartGang start{{job.id, 1}, job.shape, placement, {}, {}};
    m_gangs[job.id] = {job, start, placement, true, false};
    return handle(scheduling::GangRestored{job, start.attempt, placement, scheduling::RestoredState::Running});
}

void Fleet::failOver()
{
    m_core = scheduling::Core(m_options);
    for (const auto &[id, worker] : m_workers) {
        (void)handle(worker);
    }
    (void)handle(scheduling::ConfigChanged{std::make_shared<wire::Config>(m_config)});
    const auto gangs = m_gangs;
    for (const auto &[id, gang] : gangs) {
        const auto state = gang.isStopping ? scheduling::RestoredState::Stopping : scheduling::RestoredState::Running;
        m_gangs.at(id).isRunning = true;
        (void)handle(scheduling::GangRestored{m_submitted.at(id), gang.start.attempt, gang.occupied, state});
    }
    for (const std::string &id : openJobs()) {
        if (!m_gangs.contains(base::JobId(id))) {
            (void)handle(scheduling::JobSubmitted{m_submitted.at(base::JobId(id))});
        }
    }
}

Decision Fleet::advance(std::chrono::milliseconds step)
{
    m_now += step;
    return handle(scheduling::Tick{});
}

Decision Fleet::handle(const scheduling::Event &event)
{
    Decision decision = m_core.handle(event, m_now);
    applyDecision(decision);
    return decision;
}

void Fleet::applyDecision(const Decision &decision)
{
    for (const scheduling::Command &command : decision.commands) {
        if (const auto *start = std::get_if<scheduling::StartGang>(&command)) {
            checkStart(*start);
            m_submitted[start->attempt.job].attempt = start->attempt.attempt;
            m_gangs[start->attempt.job] = {m_submitted[start->attempt.job], *start, start->placement, false, false};
        } else if (const auto *stop = std::get_if<scheduling::StopGang>(&command)) {
            checkStop(*stop);
        } else if (const auto *finish = std::get_if<scheduling::FinishJob>(&command)) {
            if (!m_outcomes.emplace(finish->job, finish->outcome).second) {
                m_violations.push_back(finish->job.value() + " finished twice");
            }
        }
    }
}

void Fleet::checkStart(const scheduling::StartGang &start)
{
    const std::string id = start.attempt.job.value();
    if (m_gangs.contains(start.attempt.job)) {
        m_violations.push_back(id + " started while an earlier attempt is still live");
    }
    for (const std::string &fault : placementFaults(start.placement, start.shape)) {
        m_violations.push_back(id + " was started " + fault);
    }
}

std::vector<std::string> Fleet::placementFaults(const scheduling::Placement &placement, const wire::Shape &shape) const
{
    std::vector<std::string> faults;
    if (placement.size() != shape.members) {
        faults.emplace_back("with the wrong number of members");
    }
    std::set<std::string> hosts;
    std::set<std::string> racks;
    std::set<std::string> dataCentres;
    for (const base::MemberId &member : placement) {
        const auto found = m_workers.find(member);
        if (found == m_workers.end() || found->second.state != wire::MemberState::Alive) {
            faults.emplace_back("on a worker that accepts no work");
            continue;
        }
        const auto mode = m_config.dataCentres.find(found->second.dataCentre);
        if (mode != m_config.dataCentres.end() && mode->second.value.mode == wire::DataCentreMode::Out) {
            faults.emplace_back("in a data centre that is out of service");
        }
        hosts.insert(member.value());
        dataCentres.insert(found->second.dataCentre.value());
        racks.insert(found->second.dataCentre.value() + '/' + found->second.rack.value());
    }
    const bool isNotAdjacent = (shape.adjacency == wire::Adjacency::Host && hosts.size() > 1) || (shape.adjacency == wire::Adjacency::Rack && racks.size() > 1);
    if (isNotAdjacent || dataCentres.size() > 1) {
        faults.emplace_back("without the required adjacency");
    }
    return faults;
}

void Fleet::checkStop(const scheduling::StopGang &stop)
{
    const auto found = m_gangs.find(stop.attempt.job);
    if (found == m_gangs.end() || stop.mode == wire::StopMode::Throttle) {
        return;
    }
    found->second.isStopping = true;
    const bool isForOthers = stop.reason.find("for job") != std::string::npos;
    const auto explanation = m_core.explain(stop.attempt.job);
    if (isForOthers && (!explanation || explanation->tenure != Tenure::Borrowed)) {
        m_violations.push_back(stop.attempt.job.value() + " was preempted although it does not use borrowed capacity");
    }
}

bool Fleet::isLive(const std::string &id) const
{
    return m_gangs.contains(base::JobId(id));
}

bool Fleet::isStopping(const std::string &id) const
{
    const auto found = m_gangs.find(base::JobId(id));
    return found != m_gangs.end() && found->second.isStopping;
}

const LiveGang &Fleet::gang(const std::string &id) const
{
    return m_gangs.at(base::JobId(id));
}

const std::map<base::JobId, LiveGang> &Fleet::gangs() const
{
    return m_gangs;
}

std::optional<scheduling::JobOutcome> Fleet::outcome(const std::string &id) const
{
    const auto found = m_outcomes.find(base::JobId(id));
    return found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> Fleet::openJobs() const
{
    std::vector<std::string> open;
    for (const auto &[id, spec] : m_submitted) {
        if (!m_outcomes.contains(id)) {
            open.push_back(id.value());
        }
    }
    return open;
}

const std::map<base::MemberId, scheduling::WorkerUpdated> &Fleet::workers() const
{
    return m_workers;
}

const wire::Config &Fleet::config() const
{
    return m_config;
}

scheduling::Core &Fleet::core()
{
    return m_core;
}

runtime::Instant Fleet::now() const
{
    return m_now;
}

std::vector<std::string> Fleet::violations()
{
    std::vector<std::string> found = m_violations;
    Usage actualUsage;
    for (const auto &[id, gang] : m_gangs) {
        actualUsage.add(gang.occupied, gang.start.shape);
    }
    Usage guaranteedUsage;
    std::map<std::pair<base::WorkspaceId, base::TemplateId>, std::uint32_t> accountedGangs;
    for (const auto &[id, spec] : m_submitted) {
        const auto explanation = m_core.explain(id);
        if (!explanation || explanation->tenure == Tenure::None) {
            continue;
        }
        if (explanation->tenure == Tenure::Borrowed) {
            if (!spec.idempotent && !spec.checkpointable) {
                found.push_back(id.value() + " uses borrowed capacity but can't be preempted");
            }
            continue;
        }
        guaranteedUsage.add(explanation->placement, spec.shape);
        accountedGangs[{spec.workspace, spec.templateId}] += explanation->tenure == Tenure::Guaranteed ? 1 : 0;
    }
    for (const scheduling::UnmetGuarantee &unmet : m_core.unmetGuarantees()) {
        accountedGangs[{unmet.workspace, unmet.templateId}] += unmet.gangs;
    }
    // Checks the places reserved for guarantees independently of the core's own accounting.
    Usage reservedUsage;
    for (const scheduling::ReservedPlace &place : m_core.reservedPlaces()) {
        ++accountedGangs[{place.workspace, place.templateId}];
        reservedUsage.add(place.placement, place.shape);
        guaranteedUsage.add(place.placement, place.shape);
        for (const std::string &fault : placementFaults(place.placement, place.shape)) {
            found.push_back("a place for a guarantee of " + place.workspace.value() + " is reserved " + fault);
        }
    }
    checkGrants(accountedGangs, found);
    for (const auto &[id, reported] : m_workers) {
        if (!actualUsage.fits(reported)) {
            found.push_back("worker " + id.value() + " is overcommitted");
        }
        if (reservedUsage.has(id) && !guaranteedUsage.fits(reported)) {
            found.push_back("worker " + id.value() + " can't meet its guarantees by preempting borrowers only");
        }
    }
    return found;
}

void Fleet::checkGrants(std::map<std::pair<base::WorkspaceId, base::TemplateId>, std::uint32_t> &accountedGangs, std::vector<std::string> &found) const
{
    for (const auto &[name, workspace] : m_config.workspaces) {
        for (const wire::Grant &grant : workspace.value.grants) {
            if (accountedGangs[{name, grant.templateId}] < grant.guaranteedGangs) {
                found.push_back("a guarantee of " + name.value() + " for " + grant.templateId.value() + " is neither in use, reserved nor reported as unmet");
            }
        }
    }
}

} // namespace plantainfork::tests
