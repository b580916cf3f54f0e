#include "jobs/gang_coordinator.h"

#include <algorithm>
#include <utility>

#include "rpc/channel.h"
#include "runtime/gather.h"
#include "runtime/timer.h"

namespace plantainfork::jobs
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds RetryInterval{100};
/**
 * Gang leases after which a member that doesn't answer has certainly stopped: the member's own lease, counted from
 * the last heartbeat that rank 0 acknowledged; its worker's lease, counted from the last announcement that the agent
 * answered; and one lease for calls in flight.
 */
constexpr int LeasesUntilUnresponsiveMemberStopped = 3;

bool mayStillRun(wire::TaskState state)
{
    return state == wire::TaskState::Prepared || state == wire::TaskState::Running || state == wire::TaskState::Stopping;
}

asio::awaitable<GangCoordinator::Refusal> prepareMember(std::shared_ptr<rpc::Channel> channel, wire::PrepareCall call, runtime::Instant deadline)
{
    const base::MemberId member = call.members[call.rank].agent;
    const auto result = co_await rpc::call(*channel, call, deadline);
    GangCoordinator::Refusal refusal;
    if (!result.reply.ok()) {
        refusal = {member, result.reply.status().ToString()};
    } else if (!result.reply->accepted) {
        refusal = {member, result.reply->reason};
    }
    co_return refusal;
}

asio::awaitable<bool> commitMember(std::shared_ptr<rpc::Channel> channel, wire::CommitCall call, runtime::Instant deadline)
{
    while (runtime::Clock::now() < deadline) {
        const auto result = co_await rpc::call(*channel, call, deadline);
        if (result.reply.ok()) {
            co_return result.reply->accepted;
        }
        co_await runtime::sleepFor(RetryInterval);
    }
    co_return false;
}

} // namespace

GangCoordinator::GangCoordinator(asio::any_io_executor executor, rpc::ChannelPool &channels, std::chrono::milliseconds gangLease)
    : m_executor(std::move(executor))
    , m_channels(channels)
    , m_gangLease(gangLease)
{
}

asio::awaitable<std::vector<GangCoordinator::Refusal>> GangCoordinator::prepare(GangCommandContext context, wire::PrepareCall plan)
{
    plan.token = context.token;
    plan.region = context.region;
    plan.attempt = context.attempt;
    plan.members = context.members;
    plan.lease = m_gangLease;
    // The other half of the lease is left for the write to the store and the commits.
    const auto deadline = runtime::Clock::now() + m_gangLease / 2;
    std::vector<asio::awaitable<Refusal>> calls;
    for (const auto &member : context.members) {
        wire::PrepareCall call = plan;
        call.rank = member.rank;
        call.agentIncarnation = member.incarnation;
        calls.push_back(prepareMember(m_channels.to(member.rpc), std::move(call), deadline));
    }
    std::vector<Refusal> refusals = co_await runtime::gather(m_executor, std::move(calls));
    refusals.erase(std::remove_if(refusals.begin(),
                                  refusals.end(),
                                  [](const Refusal &refusal) {
                                      return refusal.member.isEmpty();
                                  }),
                   refusals.end());
    co_return refusals;
}

asio::awaitable<bool> GangCoordinator::commit(GangCommandContext context, runtime::Instant deadline)
{
    std::vector<asio::awaitable<bool>> calls;
    for (const auto &member : context.members) {
        calls.push_back(commitMember(m_channels.to(member.rpc), {context.token, context.region, context.attempt}, deadline));
    }
    const std::vector<bool> committed = co_await runtime::gather(m_executor, std::move(calls));
    co_return std::all_of(committed.begin(), committed.end(), [](bool isCommitted) {
        return isCommitted;
    });
}

asio::awaitable<wire::TaskState> GangCoordinator::queryRankZero(GangCommandContext context)
{
    const wire::CommitCall call{context.token, context.region, context.attempt};
    const auto channel = m_channels.to(context.members.front().rpc);
    const auto result = co_await rpc::call(*channel, call, runtime::Clock::now() + m_gangLease / 2);
    co_return result.reply.ok() && result.reply->accepted ? result.reply->status.state : wire::TaskState::Absent;
}

asio::awaitable<wire::GangReply> GangCoordinator::stopMember(wire::GangMember member, wire::StopCall call)
{
    const auto minimumWaitEnd = runtime::Clock::now() + LeasesUntilUnresponsiveMemberStopped * m_gangLease;
    auto lastReplyAt = runtime::Clock::now();
    wire::GangReply lastReply;
    while (true) {
        const auto channel = m_channels.to(member.rpc);
        const auto result = co_await rpc::call(*channel, call, runtime::Clock::now() + m_gangLease / 2);
        if (result.reply.ok()) {
            lastReply = *result.reply;
            lastReplyAt = runtime::Clock::now();
            // Members refuse only the command of a superseded scheduler; a repeat would be refused as well.
            if (!lastReply.accepted || !mayStillRun(lastReply.status.state)) {
                lastReply.accepted = true;
                co_return lastReply;
            }
        }
        const auto giveUpAt = std::max(minimumWaitEnd, lastReplyAt + LeasesUntilUnresponsiveMemberStopped * m_gangLease);
        if (runtime::Clock::now() >= giveUpAt) {
            lastReply.accepted = false;
            co_return lastReply;
        }
        co_await runtime::sleepFor(RetryInterval);
    }
}

asio::awaitable<GangCoordinator::StopResult> GangCoordinator::stop(GangCommandContext context, wire::StopMode mode, std::string reason)
{
    std::vector<asio::awaitable<wire::GangReply>> calls;
    for (const auto &member : context.members) {
        wire::StopCall call{context.token, context.region, context.attempt, mode, reason};
        calls.push_back(stopMember(member, std::move(call)));
    }
    const std::vector<wire::GangReply> replies = co_await runtime::gather(m_executor, std::move(calls));
    StopResult result;
    result.checkpointed = std::chrono::milliseconds::max();
    for (const auto &reply : replies) {
        result.unresponsiveMembers += reply.accepted ? 0 : 1;
        result.checkpointed = std::min(result.checkpointed, reply.status.checkpointed);
    }
    co_return result;
}

asio::awaitable<void> GangCoordinator::throttle(GangCommandContext context, std::string reason)
{
    for (const auto &member : context.members) {
        const wire::StopCall call{context.token, context.region, context.attempt, wire::StopMode::Throttle, reason};
        const auto channel = m_channels.to(member.rpc);
        co_await rpc::call(*channel, call, runtime::Clock::now() + m_gangLease / 2);
    }
}

} // namespace plantainfork::jobs
