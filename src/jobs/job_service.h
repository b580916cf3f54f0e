/**
 * The job API of an entry, for callers and other daemons: submission, queries and cancellation. It also runs a
 * RegionScheduler for each region that this entry may schedule. Any entry accepts a job; the leader of the job's
 * region schedules it.
 */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/message.h"
#include "jobs/job_store.h"
#include "jobs/region_scheduler.h"
#include "rpc/server.h"

namespace plantainfork::jobs
{

template<store::KeyValueStore Store>
class JobService : public std::enable_shared_from_this<JobService<Store>>
{
public:
    struct Options {
        base::RegionId ownRegion;
        wire::Address self;
        std::chrono::milliseconds schedulerLease{5000};
        std::chrono::milliseconds gangLease{3000};
        std::chrono::milliseconds memberTimeout{6000};
    };

    JobService(boost::asio::any_io_executor executor,
               Options options,
               Store &store,
               const runtime::Published<wire::Config> &config,
               const runtime::Published<membership::MemberView> &members,
               rpc::ChannelPool &channels,
               metrics::Registry &registry);

    /** Registers handlers for the calls of agents and other entries. Must be called before the server starts. */
    void registerOn(rpc::Server &server);
    void start();
    /** Refuses new jobs, waits until `deadline` for pending notices to be delivered, and releases the leases. */
    boost::asio::awaitable<void> stop(runtime::Instant deadline);

    /** The known leader of each region: a JSON array of {"region","holder"}. */
    boost::asio::awaitable<std::string> schedulersJson();

    /** Serves /v1/jobs and /v1/capacity. */
    boost::asio::awaitable<http::Response> handle(http::Request request);

private:
    using Scheduler = RegionScheduler<Store>;

    boost::asio::awaitable<void> startRegionSchedulers();
    std::shared_ptr<Scheduler> schedulerFor(const base::RegionId &region);
    std::vector<std::pair<base::RegionId, std::shared_ptr<Scheduler>>> schedulers();

    boost::asio::awaitable<http::Response> submit(http::Request request);
    boost::asio::awaitable<http::Response> list(http::Request request);
    boost::asio::awaitable<http::Response> show(base::JobId job);
    boost::asio::awaitable<http::Response> explain(base::JobId job);
    boost::asio::awaitable<http::Response> cancel(base::JobId job);
    boost::asio::awaitable<http::Response> capacity();

    [[nodiscard]] std::variant<JobRecord, http::Response> createRecord(const Submission &submission) const;
    /** The region of the grant's first data centre that still exists; without one, the region with the most accelerators. */
    [[nodiscard]] base::RegionId regionFor(const wire::Grant &grant, const wire::Config &config) const;
    boost::asio::awaitable<http::Response> handleDuplicateId(JobRecord record);
    boost::asio::awaitable<void> deliverNotice(base::RegionId region, base::JobId job);
    boost::asio::awaitable<bool> tryDeliverNotice(base::RegionId region, base::JobId job);
    boost::asio::awaitable<std::optional<std::string>> queryLeader(base::RegionId region, wire::JobQuestion question, base::JobId job);
    /** The address of a region's leader: as known to the local RegionScheduler, else from the lease in the store. */
    boost::asio::awaitable<std::optional<wire::Address>> findLeader(base::RegionId region);

    const boost::asio::any_io_executor m_executor;
    const Options m_options;
    Store &m_store;
    JobStore<Store> m_jobStore;
    const runtime::Published<wire::Config> &m_config;
    const runtime::Published<membership::MemberView> &m_members;
    rpc::ChannelPool &m_channels;
    metrics::Registry &m_registry;
    std::mutex m_mutex;
    /** Guarded by m_mutex. */
    std::map<base::RegionId, std::shared_ptr<Scheduler>> m_schedulers;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_pendingNotices{0};
    metrics::Counter &m_accepted;
    metrics::Counter &m_refused;
    metrics::Counter &m_unknown;
};

} // namespace plantainfork::jobs
