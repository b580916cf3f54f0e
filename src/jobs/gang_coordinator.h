/**
 * Sends the scheduler's commands for one gang to the agents of all its members: prepare, commit, stop, throttle.
 * It makes no decisions and keeps no state between calls; RegionScheduler does both.
 */
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/ids.h"
#include "rpc/channel_pool.h"
#include "runtime/clock.h"
#include "wire/gang_messages.h"

namespace plantainfork::jobs
{

/** The fields that every command to a gang carries, and the members it is sent to. */
struct GangCommandContext {
    base::FencingToken token;
    base::RegionId region;
    wire::AttemptId attempt;
    /** In order of rank. */
    std::vector<wire::GangMember> members;
};

class GangCoordinator
{
public:
    /** Why a member could not be prepared. `member` is empty if it could. */
    struct Refusal {
        base::MemberId member;
        std::string reason;
    };
    struct StopResult {
        /** The least progress that any member has checkpointed; zero if a member's is unknown. */
        std::chrono::milliseconds checkpointed{0};
        /** Members that did not answer. Their leases have expired by now, so they have stopped. */
        std::size_t unresponsiveMembers = 0;
    };

    GangCoordinator(boost::asio::any_io_executor executor, rpc::ChannelPool &channels, std::chrono::milliseconds gangLease);

    /** Prepares all members concurrently and returns the refusals; none means that every member is reserved. `plan` gives the fields that `context` doesn't. */
    boost::asio::awaitable<std::vector<Refusal>> prepare(GangCommandContext context, wire::PrepareCall plan);

    /** Commits every member, retrying until `deadline`. True once every member has confirmed its commit. */
    boost::asio::awaitable<bool> commit(GangCommandContext context, runtime::Instant deadline);

    /** Returns the state of rank 0, or Absent when it doesn't answer. The query repeats the commit, which is idempotent. */
    boost::asio::awaitable<wire::TaskState> queryRankZero(GangCommandContext context);

    /** Returns once no member runs: each has confirmed it, or hasn't answered for so long that all its leases have expired. */
    boost::asio::awaitable<StopResult> stop(GangCommandContext context, wire::StopMode mode, std::string reason);

    /** Sends a throttle command to every member, one after the other. Failed calls aren't retried. */
    boost::asio::awaitable<void> throttle(GangCommandContext context, std::string reason);

private:
    /**
     * Repeats the command until the member confirms that its task doesn't run, refuses the command, or has been
     * unresponsive for so long that it has stopped by itself. `accepted` in the result is false only in the last case.
     */
    boost::asio::awaitable<wire::GangReply> stopMember(wire::GangMember member, wire::StopCall call);

    boost::asio::any_io_executor m_executor;
    rpc::ChannelPool &m_channels;
    const std::chrono::milliseconds m_gangLease;
};

} // namespace plantainfork::jobs
