/**
 * Runs non-idempotent requests at most once. Before a request is dispatched, a claim in the store names the one
 * agent that may run it. A repeated submission asks that agent for the outcome.
 */
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "requests/answer.h"
#include "requests/claim_store.h"
#include "requests/forwarder.h"

namespace plantainfork::requests
{

template<store::KeyValueStore Store>
class AtMostOnceForwarder
{
public:
    AtMostOnceForwarder(Forwarder &forwarder, ClaimStore<Store> &claims)
        : m_forwarder(forwarder)
        , m_claims(claims)
    {
    }

    boost::asio::awaitable<Result> run(std::shared_ptr<const ClassifiedRequest> request)
    {
        RequestProgress progress;
        progress.request = request;
        progress.key = {request->request.workspace, request->request.id};
        progress.demand = toDemand(*request);
        progress.nonce = randomNonce();
        while (runtime::Clock::now() < request->deadline) {
            std::optional<Result> result = co_await step(progress);
            if (result) {
                co_return std::move(*result);
            }
        }
        co_return deadlineResult(progress);
    }

private:
    /** State of one request while it is claimed, dispatched and settled. */
    struct RequestProgress {
        std::shared_ptr<const ClassifiedRequest> request;
        RequestKey key;
        Demand demand;
        /** Identifies the claims written for this submission. */
        std::uint64_t nonce = 0;
        /** Index of the claim to replace, whose attempt is known never to run; 0 if there is no claim. */
        store::Index replacedIndex;
        /** The outcome of an earlier claim write is unknown, so the claim must be read before the next write. */
        bool mustReadClaim = false;
        /** Another submission with this id may run or have run, so this request must not be reported as not run. */
        bool hasOtherSubmission = false;
    };

    /** Subtracted from the caller's deadline in settle calls, so that the agent's reply arrives in time. */
    static constexpr std::chrono::milliseconds SettleMargin{50};
    static constexpr std::chrono::milliseconds SettleRetryInterval{100};

    static std::uint64_t randomNonce()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }

    static Result deadlineResult(const RequestProgress &progress)
    {
        if (progress.hasOtherSubmission) {
            return unknownResult("an earlier submission under this id may have run");
        }
        return notRunResult(absl::UnavailableError("not dispatched before the deadline"));
    }

    /** Claims and dispatches once. Returns nothing if the request should be tried again. */
    boost::asio::awaitable<std::optional<Result>> step(RequestProgress &progress)
    {
        const runtime::Instant deadline = progress.request->deadline;
        const absl::Status ready = co_await m_claims.waitForStore(deadline);
        if (!ready.ok()) {
            co_return deadlineResult(progress);
        }
        if (progress.mustReadClaim) {
            auto found = co_await m_claims.find(progress.key, deadline);
            if (!found.ok()) {
                co_return deadlineResult(progress);
            }
            progress.mustReadClaim = false;
            if (*found && !ownsClaim(progress, (*found)->claim)) {
                co_return co_await settle(progress, **found);
            }
            progress.replacedIndex = *found ? (*found)->index : store::Index();
        }
        const auto pool = m_forwarder.poolFor(progress.request->request.service);
        auto slot = co_await pool->acquire(progress.demand);
        if (!slot.ok()) {
            if (progress.hasOtherSubmission) {
                co_return deadlineResult(progress);
            }
            co_return notRunResult(slot.status());
        }
        co_return co_await claimAndDispatch(progress, std::move(*slot));
    }

    boost::asio::awaitable<std::optional<Result>> claimAndDispatch(RequestProgress &progress, Slot slot)
    {
        const ClaimResult claimed = co_await m_claims.claim(progress.key, makeClaim(progress, slot.agent()), progress.replacedIndex);
        switch (claimed.outcome) {
        case ClaimOutcome::Uncertain:
            progress.mustReadClaim = true;
            co_return std::nullopt;
        case ClaimOutcome::HeldByOther:
            if (ownsClaim(progress, claimed.stored.claim)) {
                progress.replacedIndex = claimed.stored.index;
                co_return std::nullopt;
            }
            // Release the slot before waiting for the other submission.
            {
                const Slot released = std::move(slot);
            }
            co_return co_await settle(progress, claimed.stored);
        case ClaimOutcome::Acquired:
            break;
        }
        progress.replacedIndex = claimed.stored.index;
        progress.hasOtherSubmission = false;
        co_return co_await dispatch(progress, std::move(slot), claimed.stored);
    }

    boost::asio::awaitable<std::optional<Result>> dispatch(RequestProgress &progress, Slot slot, StoredClaim stored)
    {
        const base::MemberId agent = slot.agent().id;
        AttemptResult ended = co_await m_forwarder.attempt(std::move(slot), progress.request);
        switch (ended.reply.outcome) {
        case wire::Outcome::Answered:
            co_return toResult(std::move(ended.reply));
        case wire::Outcome::NotRun:
            // The only attempt allowed by this claim is known not to have run, so the claim may be replaced by one for another agent.
            progress.demand.avoid = {agent};
            progress.hasOtherSubmission = ended.reply.refusal == wire::Refusal::Barred;
            co_return std::nullopt;
        case wire::Outcome::Unknown:
            break;
        }
        if (ended.isFromAgent) {
            co_return toResult(std::move(ended.reply));
        }
        co_return co_await settle(progress, stored);
    }

    /** Asks the agent named by a claim for the state of the request. Returns nothing if the request is barred there and may be claimed again. */
    boost::asio::awaitable<std::optional<Result>> settle(RequestProgress &progress, StoredClaim stored)
    {
        progress.hasOtherSubmission = true;
        wire::SettleCall call;
        call.agentIncarnation = stored.claim.agentIncarnation;
        call.workspace = progress.key.workspace;
        call.requestId = progress.key.id;
        const runtime::Instant settleDeadline = progress.request->deadline - SettleMargin;
        while (runtime::Clock::now() < settleDeadline) {
            call.waitFor = std::chrono::duration_cast<std::chrono::milliseconds>(settleDeadline - runtime::Clock::now());
            const auto reply = co_await m_forwarder.settle(stored.claim.rpc, call, progress.request->deadline);
            if (!reply.ok()) {
                co_await runtime::sleepFor(SettleRetryInterval);
                continue;
            }
            switch (reply->state) {
            case wire::AttemptState::Barred:
                progress.replacedIndex = stored.index;
                progress.demand.avoid = {stored.claim.agent};
                co_return std::nullopt;
            case wire::AttemptState::Done:
                co_return toResult(reply->answer);
            case wire::AttemptState::Forgotten:
                co_return unknownResult("the agent that may have run it was restarted");
            case wire::AttemptState::Running:
                break;
            }
        }
        co_return unknownResult("it may still be running");
    }

    static bool ownsClaim(const RequestProgress &progress, const Claim &claim)
    {
        return claim.nonce == progress.nonce;
    }

    static Claim makeClaim(const RequestProgress &progress, const wire::MemberRecord &agent)
    {
        Claim claim;
        claim.agent = agent.id;
        claim.agentIncarnation = agent.incarnation;
        claim.rpc = agent.rpc;
        claim.nonce = progress.nonce;
        claim.createdMs = unixNow().count();
        return claim;
    }

    Forwarder &m_forwarder;
    ClaimStore<Store> &m_claims;
};

} // namespace plantainfork::requests
