/** Definitions of JobService. */
#pragma once

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "jobs/job_responses.h"
#include "jobs/job_service.h"
#include "jobs/region_scheduler_impl.h"
#include "rpc/channel.h"
#include "runtime/timer.h"

namespace plantainfork::jobs
{

constexpr std::chrono::milliseconds RegionPollInterval{250};
constexpr std::chrono::milliseconds NoticeRetryInterval{100};
/** Timeout of the store operations of a submission or cancellation. */
constexpr std::chrono::milliseconds SubmitTimeout{5000};
/** Most notices of submissions pending at a time. A job beyond that is found by the leader's rescan. */
constexpr std::size_t MaxPendingNotices = 10'000;

template<store::KeyValueStore Store>
JobService<Store>::JobService(boost::asio::any_io_executor executor,
                              Options options,
                              Store &store,
                              const runtime::Published<wire::Config> &config,
                              const runtime::Published<membership::MemberView> &members,
                              rpc::ChannelPool &channels,
                              metrics::Registry &registry)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_store(store)
    , m_jobStore(store)
    , m_config(config)
    , m_members(members)
    , m_channels(channels)
    , m_registry(registry)
    , m_accepted(registry.counter("plantainfork_jobs_accepted_total"))
    , m_refused(registry.counter("plantainfork_jobs_refused_total"))
    , m_unknown(registry.counter("plantainfork_jobs_unknown_total"))
{
}

template<store::KeyValueStore Store>
void JobService<Store>::registerOn(rpc::Server &server)
{
    const std::weak_ptr<JobService> weak = this->weak_from_this();
    rpc::handleCall<wire::JobNoticeCall>(server, [weak](wire::JobNoticeCall call) -> boost::asio::awaitable<absl::StatusOr<wire::JobNoticeReply>> {
        wire::JobNoticeReply reply;
        const auto self = weak.lock();
        const auto scheduler = self ? self->schedulerFor(call.region) : nullptr;
        if (scheduler) {
            reply.accepted = co_await scheduler->handleJobNotice(call.job);
        }
        co_return reply;
    });
    rpc::handleCall<wire::JobQueryCall>(server, [weak](wire::JobQueryCall call) -> boost::asio::awaitable<absl::StatusOr<wire::JobQueryReply>> {
        wire::JobQueryReply reply;
        const auto self = weak.lock();
        const auto scheduler = self ? self->schedulerFor(call.region) : nullptr;
        if (scheduler) {
            const auto answer = co_await scheduler->answerQuery(call.question, call.job);
            reply.accepted = answer.has_value();
            reply.answer = answer.value_or("");
        }
        co_return reply;
    });
    rpc::handleCall<wire::TaskReportCall>(server, [weak](wire::TaskReportCall call) -> boost::asio::awaitable<absl::StatusOr<wire::TaskReportReply>> {
        wire::TaskReportReply reply;
        const auto self = weak.lock();
        if (!self) {
            co_return reply;
        }
        const auto view = self->m_members.load();
        const auto agent = view->members.find(call.agent);
        const auto scheduler = agent == view->members.end() ? nullptr : self->schedulerFor(agent->second.region);
        if (scheduler) {
            reply.accepted = co_await scheduler->handleTaskReport(call.status);
        }
        co_return reply;
    });
}

template<store::KeyValueStore Store>
void JobService<Store>::start()
{
    boost::asio::co_spawn(m_executor, startRegionSchedulers(), boost::asio::detached);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> JobService<Store>::stop(runtime::Instant deadline)
{
    m_isStopping = true;
    while (m_pendingNotices > 0 && runtime::Clock::now() < deadline) {
        co_await runtime::sleepFor(NoticeRetryInterval);
    }
    for (const auto &[region, scheduler] : schedulers()) {
        co_await scheduler->stop();
    }
}

/**
 * Starts a RegionScheduler for this entry's own region, and for each region that has workers but no known entry of
 * its own.
 */
template<store::KeyValueStore Store>
boost::asio::awaitable<void> JobService<Store>::startRegionSchedulers()
{
    const auto self = this->shared_from_this();
    while (!m_isStopping) {
        const auto view = m_members.load();
        std::set<base::RegionId> regions{m_options.ownRegion};
        std::set<base::RegionId> regionsWithEntries;
        for (const auto &[id, record] : view->members) {
            if (record.role == wire::MemberRole::Entry) {
                regionsWithEntries.insert(record.region);
            }
        }
        for (const auto &record : view->workers) {
            if (regionsWithEntries.count(record.region) == 0) {
                regions.insert(record.region);
            }
        }
        for (const auto &region : regions) {
            const std::scoped_lock lock(m_mutex);
            auto &scheduler = m_schedulers[region];
            if (!scheduler) {
                RegionSchedulerOptions options{region, m_options.self, m_options.schedulerLease, m_options.gangLease, m_options.memberTimeout};
                scheduler = std::make_shared<Scheduler>(m_executor, std::move(options), m_store, m_config, m_members, m_channels, m_registry);
                scheduler->start();
            }
        }
        co_await runtime::sleepFor(RegionPollInterval);
    }
}

template<store::KeyValueStore Store>
std::shared_ptr<RegionScheduler<Store>> JobService<Store>::schedulerFor(const base::RegionId &region)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_schedulers.find(region);
    return found == m_schedulers.end() ? nullptr : found->second;
}

template<store::KeyValueStore Store>
std::vector<std::pair<base::RegionId, std::shared_ptr<RegionScheduler<Store>>>> JobService<Store>::schedulers()
{
    const std::scoped_lock lock(m_mutex);
    return {m_schedulers.begin(), m_schedulers.end()};
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::handle(http::Request request)
{
    constexpr std::string_view Prefix = "/v1/jobs/";
    const std::string path(request.path());
    if (path == "/v1/capacity" && request.method == "GET") {
        co_return co_await capacity();
    }
    if (path == "/v1/jobs" && request.method == "POST") {
        co_return co_await submit(std::move(request));
    }
    if (path == "/v1/jobs" && request.method == "GET") {
        co_return co_await list(std::move(request));
    }
    if (path.rfind(Prefix, 0) != 0) {
        co_return http::Response::text(404, "no such path: " + path + "\n");
    }
    std::string jobAndAction = path.substr(Prefix.size());
    const auto slash = jobAndAction.find('/');
    const std::string action = slash == std::string::npos ? "" : jobAndAction.substr(slash + 1);
    const base::JobId job(jobAndAction.substr(0, slash));
    if (request.method == "GET" && action.empty()) {
        co_return co_await show(job);
    }
    if (request.method == "GET" && action == "explain") {
        co_return co_await explain(job);
    }
    if (request.method == "DELETE" && action.empty()) {
        co_return co_await cancel(job);
    }
    co_return http::Response::text(405, "no such call on a job\n");
}

template<store::KeyValueStore Store>
std::variant<JobRecord, http::Response> JobService<Store>::createRecord(const Submission &submission) const
{
    const auto config = m_config.load();
    const auto templateFound = config->templates.find(submission.templateId);
    const bool isTemplateKnown = templateFound != config->templates.end() && !templateFound->second.removed;
    if (!isTemplateKnown || templateFound->second.value.kind != wire::WorkKind::Job) {
        return failureResponse(404, "not-run", "no template for jobs: " + submission.templateId.value());
    }
    const auto workspaceFound = config->workspaces.find(submission.workspace);
    if (workspaceFound == config->workspaces.end() || workspaceFound->second.removed) {
        return failureResponse(404, "not-run", "no workspace: " + submission.workspace.value());
    }
    const auto &grants = workspaceFound->second.value.grants;
    const auto grant = std::find_if(grants.begin(), grants.end(), [&submission](const wire::Grant &candidate) {
        return candidate.templateId == submission.templateId;
    });
    if (grant == grants.end()) {
        return failureResponse(403, "not-run", "the workspace has no grant for template " + submission.templateId.value());
    }
    const wire::Template &jobTemplate = templateFound->second.value;
    JobRecord record;
    record.spec.id = submission.id.isEmpty() ? newJobId() : submission.id;
    record.spec.workspace = submission.workspace;
    record.spec.templateId = submission.templateId;
    record.spec.shape = submission.shape.members > 0 ? submission.shape : grant->shape.members > 0 ? grant->shape : jobTemplate.shape;
    record.spec.idempotent = jobTemplate.idempotent;
    record.spec.checkpointable = jobTemplate.checkpointable;
    record.spec.urgency = jobTemplate.urgency;
    record.spec.runTime = submission.runTime;
    record.deadline = submission.deadline.count() > 0 ? submission.deadline : jobTemplate.deadline;
    record.region = regionFor(*grant, *config);
    record.submittedAt = wallClockNow();
    return record;
}

template<store::KeyValueStore Store>
base::RegionId JobService<Store>::regionFor(const wire::Grant &grant, const wire::Config &config) const
{
    for (const auto &name : grant.dataCentres) {
        const auto found = config.dataCentres.find(name);
        if (found != config.dataCentres.end() && !found->second.removed) {
            return found->second.value.region;
        }
    }
    const auto view = m_members.load();
    std::map<base::RegionId, std::uint64_t> accelerators;
    for (const auto &record : view->workers) {
        accelerators[record.region] += record.offer.accelerators;
    }
    const auto largest = std::max_element(accelerators.begin(), accelerators.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    return largest == accelerators.end() ? m_options.ownRegion : largest->first;
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::submit(http::Request request)
{
    if (m_isStopping) {
        co_return failureResponse(503, "not-run", "this entry is leaving");
    }
    auto parsed = submissionFromJson(request.body);
    if (const auto *findings = std::get_if<base::Findings>(&parsed)) {
        m_refused.add();
        co_return findingsResponse(*findings);
    }
    auto created = createRecord(std::get<Submission>(parsed));
    if (auto *refusal = std::get_if<http::Response>(&created)) {
        m_refused.add();
        co_return std::move(*refusal);
    }
    const JobRecord record = std::get<JobRecord>(created);
    const auto saved = co_await m_jobStore.create(record, runtime::Clock::now() + SubmitTimeout);
    switch (saved) {
    case SaveOutcome::Saved:
        break;
    case SaveOutcome::Conflict:
        co_return co_await handleDuplicateId(record);
    case SaveOutcome::NotSent:
        m_refused.add();
        co_return failureResponse(503, "not-run", "the store can't be reached");
    case SaveOutcome::Unknown:
        m_unknown.add();
        co_return failureResponse(504, "unknown", "the store's answer was lost; repeat under the same id: " + record.spec.id.value());
    }
    m_accepted.add();
    const bool mayDeliver = m_pendingNotices.fetch_add(1) < MaxPendingNotices;
    if (mayDeliver) {
        boost::asio::co_spawn(m_executor, deliverNotice(record.region, record.spec.id), boost::asio::detached);
    } else {
        --m_pendingNotices;
    }
    co_return http::Response::json(202, nlohmann::json{{"id", record.spec.id.value()}, {"region", record.region.value()}}.dump());
}

/** Answers a submission whose id is in use: accepted if it asks for the same work, otherwise refused. */
template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::handleDuplicateId(JobRecord record)
{
    const auto loaded = co_await m_jobStore.load(record.spec.id, runtime::Clock::now() + SubmitTimeout);
    if (!loaded.ok()) {
        co_return failureResponse(504, "unknown", "a job of this id exists, but could not be read: " + std::string(loaded.status().message()));
    }
    const scheduling::JobSpec &existing = loaded->record.spec;
    const bool isSame = existing.workspace == record.spec.workspace && existing.templateId == record.spec.templateId && existing.shape == record.spec.shape
        && existing.runTime == record.spec.runTime;
    if (!isSame) {
        m_refused.add();
        co_return failureResponse(409, "not-run", "the id stands for other work");
    }
    co_return http::Response::json(202, nlohmann::json{{"id", existing.id.value()}, {"region", loaded->record.region.value()}}.dump());
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> JobService<Store>::deliverNotice(base::RegionId region, base::JobId job)
{
    const auto self = this->shared_from_this();
    // The leader's next rescan finds a job whose notice wasn't delivered until then.
    const auto giveUpAt = runtime::Clock::now() + RescanInterval;
    while (runtime::Clock::now() < giveUpAt) {
        const bool isDelivered = co_await tryDeliverNotice(region, job);
        if (isDelivered) {
            break;
        }
        co_await runtime::sleepFor(NoticeRetryInterval);
    }
    --m_pendingNotices;
}

template<store::KeyValueStore Store>
boost::asio::awaitable<bool> JobService<Store>::tryDeliverNotice(base::RegionId region, base::JobId job)
{
    if (const auto scheduler = schedulerFor(region)) {
        const bool isAccepted = co_await scheduler->handleJobNotice(job);
        if (isAccepted) {
            co_return true;
        }
    }
    const auto leaderAddress = co_await findLeader(region);
    if (!leaderAddress || *leaderAddress == m_options.self) {
        co_return false;
    }
    const wire::JobNoticeCall call{region, job};
    const auto channel = m_channels.to(*leaderAddress);
    const auto result = co_await rpc::call(*channel, call, runtime::Clock::now() + StoreTimeout);
    co_return result.reply.ok() && result.reply->accepted;
}

template<store::KeyValueStore Store>
boost::asio::awaitable<std::optional<wire::Address>> JobService<Store>::findLeader(base::RegionId region)
{
    if (const auto scheduler = schedulerFor(region)) {
        const auto known = co_await scheduler->leader();
        if (known) {
            co_return known;
        }
    }
    const auto read = co_await m_store.read(schedulerKey(region), runtime::Clock::now() + StoreTimeout);
    if (!read.ok() || read->entries.empty() || read->entries.front().session.isEmpty()) {
        co_return std::nullopt;
    }
    co_return SchedulerLease<Store>::parseAddress(read->entries.front().value);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<std::optional<std::string>> JobService<Store>::queryLeader(base::RegionId region, wire::JobQuestion question, base::JobId job)
{
    if (const auto scheduler = schedulerFor(region)) {
        auto answer = co_await scheduler->answerQuery(question, job);
        if (answer) {
            co_return answer;
        }
    }
    const auto leaderAddress = co_await findLeader(region);
    if (!leaderAddress) {
        co_return std::nullopt;
    }
    const wire::JobQueryCall call{region, question, job};
    const auto channel = m_channels.to(*leaderAddress);
    const auto result = co_await rpc::call(*channel, call, runtime::Clock::now() + StoreTimeout);
    if (!result.reply.ok() || !result.reply->accepted) {
        co_return std::nullopt;
    }
    co_return result.reply->answer;
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::show(base::JobId job)
{
    const auto loaded = co_await m_jobStore.load(job, runtime::Clock::now() + StoreTimeout);
    if (absl::IsNotFound(loaded.status())) {
        co_return http::Response::json(404, nlohmann::json{{"error", loaded.status().message()}}.dump());
    }
    if (!loaded.ok()) {
        co_return http::Response::json(503, nlohmann::json{{"error", loaded.status().message()}}.dump());
    }
    co_return http::Response::json(200, toJson(loaded->record));
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::list(http::Request request)
{
    const std::string workspace = request.query("workspace").value_or("");
    nlohmann::json items = nlohmann::json::array();
    std::set<base::RegionId> regions;
    const auto view = m_members.load();
    for (const auto &record : view->workers) {
        regions.insert(record.region);
    }
    for (const auto &region : regions) {
        const auto loaded = co_await m_jobStore.loadRegion(region, runtime::Clock::now() + StoreTimeout);
        if (!loaded.ok()) {
            co_return http::Response::json(503, nlohmann::json{{"error", loaded.status().message()}}.dump());
        }
        for (const auto &job : *loaded) {
            if (workspace.empty() || job.record.spec.workspace.value() == workspace) {
                items.push_back(nlohmann::json::parse(toJson(job.record)));
            }
        }
    }
    co_return http::Response::json(200, nlohmann::json{{"jobs", items}}.dump());
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::explain(base::JobId job)
{
    const auto loaded = co_await m_jobStore.load(job, runtime::Clock::now() + StoreTimeout);
    if (!loaded.ok()) {
        const unsigned status = absl::IsNotFound(loaded.status()) ? 404 : 503;
        co_return http::Response::json(status, nlohmann::json{{"error", loaded.status().message()}}.dump());
    }
    if (!isClosed(loaded->record.state)) {
        const auto answer = co_await queryLeader(loaded->record.region, wire::JobQuestion::Explain, job);
        if (answer && !answer->empty()) {
            co_return http::Response::json(200, *answer);
        }
    }
    co_return http::Response::json(200, recordedExplanationJson(loaded->record));
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::cancel(base::JobId job)
{
    const auto deadline = runtime::Clock::now() + SubmitTimeout;
    while (runtime::Clock::now() < deadline) {
        auto loaded = co_await m_jobStore.load(job, deadline);
        if (absl::IsNotFound(loaded.status())) {
            co_return http::Response::json(404, nlohmann::json{{"error", loaded.status().message()}}.dump());
        }
        if (!loaded.ok()) {
            co_return http::Response::json(503, nlohmann::json{{"error", loaded.status().message()}}.dump());
        }
        if (isClosed(loaded->record.state)) {
            co_return http::Response::json(200, toJson(loaded->record));
        }
        loaded->record.isCancelRequested = true;
        const auto saved = co_await m_jobStore.save(*loaded, std::nullopt, deadline);
        if (saved == SaveOutcome::Saved) {
            ++m_pendingNotices;
            boost::asio::co_spawn(m_executor, deliverNotice(loaded->record.region, job), boost::asio::detached);
            co_return http::Response::json(202, toJson(loaded->record));
        }
        co_await runtime::sleepFor(NoticeRetryInterval);
    }
    co_return http::Response::json(504, nlohmann::json{{"error", "the cancellation is not known to have been recorded"}}.dump());
}

template<store::KeyValueStore Store>
boost::asio::awaitable<std::string> JobService<Store>::schedulersJson()
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[region, scheduler] : schedulers()) {
        const auto leader = co_await scheduler->leader();
        list.push_back({{"region", region.value()}, {"holder", leader ? leader->host + ":" + std::to_string(leader->port) : ""}});
    }
    co_return list.dump();
}

template<store::KeyValueStore Store>
boost::asio::awaitable<http::Response> JobService<Store>::capacity()
{
    std::set<base::RegionId> regions;
    const auto view = m_members.load();
    for (const auto &record : view->workers) {
        regions.insert(record.region);
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &region : regions) {
        const auto answer = co_await queryLeader(region, wire::JobQuestion::Capacity, {});
        if (answer) {
            list.push_back(nlohmann::json::parse(*answer));
        } else {
            list.push_back({{"region", region.value()}, {"error", "no scheduler can be asked"}});
        }
    }
    co_return http::Response::json(200, nlohmann::json{{"regions", list}}.dump());
}

} // namespace plantainfork::jobs
