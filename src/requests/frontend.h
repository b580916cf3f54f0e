/** Request handling in the entry: the chain of filters from a caller's HTTP request to its response. */
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/message.h"
#include "requests/accept.h"
#include "requests/answer.h"
#include "requests/at_most_once_forwarder.h"
#include "requests/claim_store.h"
#include "requests/classify.h"
#include "requests/forwarder.h"
#include "requests/outcome_metrics.h"
#include "runtime/published.h"
#include "runtime/timer.h"
#include "store/key_value.h"

namespace plantainfork::requests
{

struct FrontendBounds {
    QueueBounds queue;
    ClaimBounds claims;
};

/** Whether non-idempotent requests are claimed in the store before they are dispatched. */
enum class ClaimUse {
    Required,
    /** Requests are dispatched without a claim. Only for demonstrating what claims protect against. */
    Off,
};

/** Dependencies of a front end. Referenced objects must outlive it. */
template<store::KeyValueStore Store>
struct FrontendDependencies {
    boost::asio::any_io_executor executor;
    const runtime::Published<wire::Config> &config;
    const runtime::Published<membership::MemberView> &members;
    rpc::ChannelPool &channels;
    Store &store;
    metrics::Registry &metrics;
    base::MemberId id;
    base::Incarnation incarnation;
    base::RegionId region;
    base::DataCentreId dataCentre;
    FrontendBounds bounds;
    ClaimUse claimUse = ClaimUse::Required;
};

/** Must outlive all work on its executor. */
template<store::KeyValueStore Store>
class Frontend
{
public:
    explicit Frontend(FrontendDependencies<Store> dependencies)
        : m_dependencies(std::move(dependencies))
        , m_forwarder(m_dependencies.executor,
                      {{}, m_dependencies.region, m_dependencies.dataCentre, m_dependencies.bounds.queue},
                      m_dependencies.config,
                      m_dependencies.members,
                      m_dependencies.channels,
                      m_dependencies.metrics)
        , m_claims(m_dependencies.executor, m_dependencies.store, m_dependencies.bounds.claims)
        , m_atMostOnce(m_forwarder, m_claims)
        , m_outcomes(m_dependencies.metrics)
    {
    }

    /** Starts the periodic maintenance of pools and claims. */
    void start()
    {
        m_forwarder.start();
        boost::asio::co_spawn(m_dependencies.executor, sweepClaims(), boost::asio::detached);
    }

    /** Handles a caller's request. Must run on a strand, as handlers of an HTTP connection do. */
    boost::asio::awaitable<http::Response> handle(http::Request request)
    {
        const InFlightGuard guard(m_inFlight);
        const runtime::Instant now = runtime::Clock::now();
        if (m_isDraining) {
            co_return toResponse(notRunResult(absl::UnavailableError("this entry is leaving")));
        }
        absl::StatusOr<AcceptedRequest> accepted = accept(std::move(request), now);
        if (!accepted.ok()) {
            co_return toResponse(notRunResult(accepted.status()));
        }
        absl::StatusOr<ClassifiedRequest> classified = classify(std::move(*accepted), *m_dependencies.config.load());
        if (!classified.ok()) {
            co_return toResponse(notRunResult(classified.status()));
        }
        const auto admitted = std::make_shared<const ClassifiedRequest>(std::move(*classified));
        Result result;
        if (admitted->isIdempotent || m_dependencies.claimUse == ClaimUse::Off) {
            result = co_await m_forwarder.run(admitted);
        } else {
            result = co_await m_atMostOnce.run(admitted);
        }
        m_outcomes.count(*admitted, result);
        co_return toResponse(std::move(result));
    }

    /** Refuses new requests and waits for those in flight until the deadline. Returns the number still in flight then. */
    boost::asio::awaitable<std::size_t> drain(runtime::Instant deadline)
    {
        m_isDraining = true;
        while (m_inFlight > 0 && runtime::Clock::now() < deadline) {
            co_await runtime::sleepFor(DrainPollInterval);
        }
        m_forwarder.stop();
        co_return m_inFlight.load();
    }

private:
    static constexpr std::chrono::milliseconds DrainPollInterval{5};
    /** Time from the sweep of one shard to that of the next. Every entry sweeps each shard about four times a day. */
    static constexpr std::chrono::seconds ClaimSweepInterval{90};

    /** Counts a request as in flight during its lifetime. */
    class InFlightGuard
    {
    public:
        explicit InFlightGuard(std::atomic<std::size_t> &count)
            : m_count(count)
        {
            ++m_count;
        }
        InFlightGuard(const InFlightGuard &) = delete;
        InFlightGuard &operator=(const InFlightGuard &) = delete;
        ~InFlightGuard()
        {
            --m_count;
        }

    private:
        std::atomic<std::size_t> &m_count;
    };

    boost::asio::awaitable<void> sweepClaims()
    {
        std::random_device device;
        unsigned shard = device() % ClaimShards;
        while (!m_isDraining) {
            co_await runtime::sleepFor(ClaimSweepInterval);
            static_cast<void>(co_await m_claims.sweep(shard));
            shard = (shard + 1) % ClaimShards;
        }
    }

    const FrontendDependencies<Store> m_dependencies;
    Forwarder m_forwarder;
    ClaimStore<Store> m_claims;
    AtMostOnceForwarder<Store> m_atMostOnce;
    OutcomeMetrics m_outcomes;
    std::atomic<bool> m_isDraining{false};
    std::atomic<std::size_t> m_inFlight{0};
};

} // namespace plantainfork::requests
