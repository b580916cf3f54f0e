/**
 * The scheduler of one region. It is active on the entry that holds the region's lease: it feeds events to the
 * scheduling core, executes the core's commands and updates the job records. Everything runs on one strand.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include "jobs/gang_coordinator.h"
#include "jobs/job_store.h"
#include "jobs/scheduler_lease.h"
#include "membership/member_view.h"
#include "metrics/registry.h"
#include "rpc/channel_pool.h"
#include "runtime/published.h"
#include "scheduling/core.h"
#include "wire/config_messages.h"
#include "wire/job_messages.h"

namespace plantainfork::jobs
{

/**
 * Timeout of one read or write of the store, including the reads that find out whether a write with a lost answer was
 * applied. Also the timeout of one call to a region's leader.
 */
constexpr std::chrono::milliseconds StoreTimeout{2000};

struct RegionSchedulerOptions {
    base::RegionId region;
    /** Address at which other daemons reach this entry. */
    wire::Address self;
    std::chrono::milliseconds schedulerLease{5000};
    std::chrono::milliseconds gangLease{3000};
    /** How long a new leader waits for the agents of running gangs to appear in the member view. */
    std::chrono::milliseconds memberTimeout{6000};
};

template<store::KeyValueStore Store>
class RegionScheduler : public std::enable_shared_from_this<RegionScheduler<Store>>
{
public:
    RegionScheduler(const boost::asio::any_io_executor &executor,
                    RegionSchedulerOptions options,
                    Store &store,
                    const runtime::Published<wire::Config> &config,
                    const runtime::Published<membership::MemberView> &members,
                    rpc::ChannelPool &channels,
                    metrics::Registry &registry);

    /** Contends for the lease, and schedules while it is held, until stop(). */
    void start();
    /** Releases the lease. Gangs keep running; the next leader takes them over. */
    boost::asio::awaitable<void> stop();

    /** Handles the notice that this job's record is new or has changed. False when this entry isn't the leader, or could not read a new job's record. */
    boost::asio::awaitable<bool> handleJobNotice(base::JobId job);
    /** Handles an agent's report that a task has ended. True once the job's record reflects it, so that the agent need not report it again. */
    boost::asio::awaitable<bool> handleTaskReport(wire::TaskStatus status);
    /** Answers a query with JSON; empty when the job isn't live. Unset when this entry isn't the leader. */
    boost::asio::awaitable<std::optional<std::string>> answerQuery(wire::JobQuestion question, base::JobId job);
    /** The region's leader, as of the last read or acquisition of the lease. */
    boost::asio::awaitable<std::optional<wire::Address>> leader();

private:
    /** A live job (one that isn't closed), with the state of its current attempt. */
    struct LiveJob {
        StoredJob stored;
        /** Ranks of the current attempt whose end was reported to the core. */
        std::set<std::uint32_t> endedRanks;
        /** Highest attempt that is to be stopped; a start in progress of it or an earlier one is abandoned. */
        std::uint32_t stoppingAttempt = 0;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> schedule();
    void stepDown();

    /** Starts a term: restores the region's jobs from the store and the agents' inventories. False if the records could not be read or the lease was lost. */
    boost::asio::awaitable<bool> restore();
    boost::asio::awaitable<void> waitForAgents(const std::vector<StoredJob> &jobs);
    boost::asio::awaitable<std::map<base::MemberId, wire::InventoryReply>> collectInventory();
    void restoreJob(StoredJob job, const std::map<base::MemberId, wire::InventoryReply> &inventory);
    /** Adds live jobs that this scheduler doesn't know yet. */
    boost::asio::awaitable<void> rescan();

    void applyMembers();
    void applyConfig();
    void handle(const scheduling::Event &event);
    void execute(const scheduling::StartGang &command);
    void execute(const scheduling::StopGang &command);
    void execute(const scheduling::FinishJob &command);

    boost::asio::awaitable<void> startGang(scheduling::StartGang command, std::uint64_t term);
    boost::asio::awaitable<void> stopGang(scheduling::StopGang command, std::uint64_t term);
    boost::asio::awaitable<void> finishJob(scheduling::FinishJob command, std::uint64_t term);
    boost::asio::awaitable<void> cancelReservations(GangCommandContext context);
    boost::asio::awaitable<void> awaitBarrier(GangCommandContext context, std::uint64_t term);
    boost::asio::awaitable<void> reload(base::JobId job, std::uint64_t term);
    void addJob(StoredJob job);

    [[nodiscard]] std::optional<GangCommandContext> commandContextFor(const wire::AttemptId &attempt, const scheduling::Placement &placement) const;
    [[nodiscard]] GangCommandContext commandContextFor(const JobRecord &record) const;
    LiveJob *find(const base::JobId &job);
    /** True while `term` is the current term and the lease is held. */
    [[nodiscard]] bool isCurrent(std::uint64_t term) const;
    /** True when the attempt is to be stopped or a later one is recorded, so that its start must be abandoned. */
    [[nodiscard]] bool isSuperseded(const LiveJob *job, const wire::AttemptId &attempt) const;
    void rememberClosedJob(const base::JobId &job);

    const boost::asio::strand<boost::asio::any_io_executor> m_strand;
    const RegionSchedulerOptions m_options;
    Store &m_store;
    JobStore<Store> m_jobStore;
    SchedulerLease<Store> m_lease;
    GangCoordinator m_coordinator;
    const runtime::Published<wire::Config> &m_config;
    const runtime::Published<membership::MemberView> &m_members;
    rpc::ChannelPool &m_channels;

    scheduling::Core m_core;
    /** Distinguishes this entry's successive terms as leader; work that was begun in an earlier term is abandoned. */
    std::uint64_t m_term = 0;
    bool m_isReady = false;
    bool m_isStopped = false;
    std::map<base::JobId, LiveJob> m_jobs;
    /** Jobs closed in this term, oldest first, so that a late notice or a rescan doesn't add them again. */
    std::deque<base::JobId> m_closedOrder;
    std::set<base::JobId> m_closed;
    std::map<base::MemberId, wire::MemberRecord> m_workers;
    std::shared_ptr<const membership::MemberView> m_lastView;
    std::shared_ptr<const wire::Config> m_lastConfig;
    runtime::Instant m_nextRescan;

    metrics::Counter &m_takeovers;
    metrics::Counter &m_started;
    metrics::Counter &m_refusedGangs;
    metrics::Counter &m_stoppedGangs;
    metrics::Counter &m_closedJobs;
    metrics::Histogram &m_startDelay;
    metrics::Histogram &m_decisionTime;
    metrics::Registry &m_registry;
};

} // namespace plantainfork::jobs
