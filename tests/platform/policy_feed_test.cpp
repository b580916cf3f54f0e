/** How an entry follows the operator's configuration over the lines that it may have. */
#include <catch2/catch.hpp>

#include "batch/job_request_handler.h"
#include "batch/relayed_store.h"
#include "platform/policy_feed_impl.h"
#include "platform/slow_line.h"
#include "rpc/channel_pool.h"
#include "support/run.h"
#include "wire/codec.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

using RelayedStore = batch::RelayedStore<platform::StoreClient>;

/** An entry's policy feed, with a slow line to the store and a peer that is down. */
struct PolicyOverSlowLine : tests::SlowLine {
    explicit PolicyOverSlowLine(std::uint64_t bitsPerSecond)
        : SlowLine(bitsPerSecond)
        , channels(context.get_executor(), {})
        , relayed(client,
                  channels,
                  [this] {
                      return std::vector<wire::Address>{deadPeer()};
                  })
        , holder(context.get_executor(), ConfirmationLifetime)
        , feed(std::make_shared<platform::PolicyFeed<RelayedStore>>(context.get_executor(), relayed, holder))
    {
    }

    static wire::Address deadPeer()
    {
        return {"127.0.0.1", 1};
    }

    /** The operator writes a configuration of about `bytes` bytes. */
    void configure(std::uint64_t version, std::size_t bytes)
    {
        standins::Json routes = standins::Json::array();
        std::size_t size = 0;
        while (size < bytes) {
            const std::string name = "queue-" + std::to_string(routes.size());
            routes.push_back({{"Name", name}, {"Host", name + ".example"}, {"Prefix", "/" + name + "/"}, {"Service", "ledger"}});
            size += routes.back().dump().size() + 1;
        }
        store.put("op/config", standins::Json{{"Version", version}, {"Routes", std::move(routes)}}.dump());
    }

    /** Puts a policy with one queue in force, without the feed. */
    void setQueue()
    {
        auto policy = std::make_shared<batch::Policy>();
        batch::Queue queue;
        queue.id = batch::QueueId("queue");
        queue.host = "h.example";
        queue.prefix = "/queue/";
        queue.isPublic = true;
        policy->queues[queue.id] = queue;
        holder.set(policy, {});
        holder.confirm(runtime::Clock::now());
    }

    /** Runs until the version is in force and confirmed; returns whether that was within the time. */
    bool runUntilInForce(std::uint64_t version, std::chrono::milliseconds time)
    {
        const auto deadline = runtime::Clock::now() + time;
        while (runtime::Clock::now() < deadline) {
            tests::runOn(context, runtime::sleepFor(10ms));
            if (holder.policy() && holder.policy()->version == version && holder.isCurrent(runtime::Clock::now())) {
                return true;
            }
        }
        return false;
    }

    /** The time limit for the revocation of keys, 5 s, less 0.7 s for the answer's way. */
    static constexpr std::chrono::milliseconds ConfirmationLifetime{4300};

    rpc::ChannelPool channels;
    RelayedStore relayed;
    batch::PolicyHolder holder;
    std::shared_ptr<platform::PolicyFeed<RelayedStore>> feed;
};

} // namespace

TEST_CASE("An entry that starts reads a configuration for which its line needs longer than for a usual call")
{
    PolicyOverSlowLine entry(4'000'000);
    entry.configure(1, 400'000);
    entry.feed->start();
    REQUIRE(entry.runUntilInForce(1, 10s));
}

TEST_CASE("A configuration that becomes too large for a usual call is in force all the same, and is confirmed from then on")
{
    PolicyOverSlowLine entry(2'000'000);
    entry.configure(1, 1'000);
    entry.feed->start();
    REQUIRE(entry.runUntilInForce(1, 10s));
    entry.configure(2, 450'000);
    REQUIRE(entry.runUntilInForce(2, 15s));
    const auto until = runtime::Clock::now() + 6s;
    while (runtime::Clock::now() < until) {
        tests::runOn(entry.context, runtime::sleepFor(50ms));
        REQUIRE(entry.holder.isCurrent(runtime::Clock::now()));
    }
}

TEST_CASE("A configuration that an entry's line carries for longer than the policy stays confirmed comes into force in the end")
{
    PolicyOverSlowLine entry(600'000);
    entry.configure(1, 1'000);
    entry.feed->start();
    REQUIRE(entry.runUntilInForce(1, 10s));
    entry.configure(2, 450'000);
    REQUIRE(entry.runUntilInForce(2, 30s));
}

TEST_CASE("A job whose submission or state takes an entry's line longer than a usual call is told all the same")
{
    PolicyOverSlowLine entry(10'000'000);
    entry.setQueue();
    batch::JobRequestHandler<RelayedStore> handler(entry.relayed,
                                                   entry.holder,
                                                   entry.metrics,
                                                   [](runtime::Instant) -> boost::asio::awaitable<batch::PendingResult> {
                                                       co_return batch::PendingResult{std::nullopt, "", "not asked"};
                                                   });
    batch::JobSpec spec;
    spec.id = base::JobId("large");
    spec.steps.resize(1);
    spec.steps[0].tasks = 1;
    SECTION("a large submission")
    {
        spec.payload = std::string(500'000, 'x');
    }
    SECTION("a large state")
    {
        batch::JobState state;
        state.status = batch::JobStatus::Active;
        for (std::uint32_t i = 0; i < 40'000; ++i) {
            batch::UnitRecord unit;
            unit.index = i;
            unit.isDone = true;
            unit.attempt = batch::Attempt(1);
            state.units.push_back(unit);
        }
        const std::string value = wire::encode(state);
        REQUIRE(value.size() >= 500'000);
        entry.store.put(batch::keys::state(spec.id), value);
    }
    entry.store.put(batch::keys::job(spec.id, batch::keys::JobPart::Spec), wire::encode(spec));
    const batch::Caller caller{"h.example", "/queue/large", "", runtime::Clock::now() + 3s, "r1"};
    const auto answer = tests::runOn(entry.context, handler.status(caller, spec.id));
    REQUIRE(answer.kind == batch::AnswerKind::State);
}

// Guards against a data centre that stays out: its removal and return within one answer of a slow store were applied in the wrong order.
TEST_CASE("A data centre that is taken out and back within one answer of the store is in service")
{
    PolicyOverSlowLine entry(100'000'000);
    const base::DataCentreId pens("pens");
    entry.configure(1, 100);
    entry.feed->start();
    REQUIRE(entry.runUntilInForce(1, 10s));
    // Nothing runs between the operator's writes, so one answer of the watch brings them all.
    SECTION("once")
    {
        entry.store.put("op/evacuate/pens", "{}");
        entry.store.erase("op/evacuate/pens");
    }
    SECTION("several times")
    {
        for (int i = 0; i < 3; ++i) {
            entry.store.put("op/evacuate/pens", "{}");
            entry.store.erase("op/evacuate/pens");
        }
    }
    entry.configure(2, 100);
    REQUIRE(entry.runUntilInForce(2, 10s));
    REQUIRE_FALSE(entry.holder.evacuated().contains(pens));

    // The other way round it stays out.
    entry.store.put("op/evacuate/pens", "{}");
    entry.configure(3, 100);
    REQUIRE(entry.runUntilInForce(3, 10s));
    REQUIRE(entry.holder.evacuated().contains(pens));
    entry.store.erase("op/evacuate/pens");
    entry.store.put("op/evacuate/pens", "{}");
    entry.configure(4, 100);
    REQUIRE(entry.runUntilInForce(4, 10s));
    REQUIRE(entry.holder.evacuated().contains(pens));
}
