/** Callers' requests at an entry that stops, or whose leader is silent: each gets a whole answer, within its time. */
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "batch/records.h"
#include "http/client.h"
#include "metrics/registry.h"
#include "platform/entry.h"
#include "platform/soak/callers.h"
#include "platform/soak/store.h"
#include "platform/store_client.h"
#include "runtime/timer.h"
#include "standins/program.h"
#include "support/run.h"
#include "wire/codec.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** Time after which the platform ends a process that was asked to stop. */
constexpr std::chrono::milliseconds Grace{6000};

/** Entries with their store; each caller has one connection, which it keeps. */
struct Fixture {
    struct Running {
        batch::Settings settings;
        std::unique_ptr<platform::Entry> entry;
        std::unique_ptr<http::Client> caller;
        std::optional<runtime::Instant> stoppedAt;
    };

    Fixture()
        : store(context.get_executor())
        , storeServer(standins::listen(context, {"127.0.0.1", 0}, [this](http::Request request) {
            return store.answer(std::move(request));
        }))
    {
        boost::asio::co_spawn(context, store.expireLeases(), boost::asio::detached);
        store.put("op/config", soak::Callers::policy(1, 0));
    }

    static std::uint16_t freePort(boost::asio::io_context &context)
    {
        boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return probe.local_endpoint().port();
    }

    Running &addEntry(const std::string &id, std::chrono::milliseconds grace = Grace)
    {
        auto running = std::make_unique<Running>();
        running->settings.role = wire::MemberRole::Entry;
        running->settings.id = base::MemberId(id);
        running->settings.rpc = {"127.0.0.1", freePort(context)};
        running->settings.http = {"127.0.0.1", freePort(context)};
        running->settings.readiness = {"127.0.0.1", freePort(context)};
        running->settings.store = {"127.0.0.1", storeServer->port()};
        running->settings.drainLimit = grace;
        auto entry = platform::Entry::create(context.get_executor(), running->settings);
        REQUIRE(entry.ok());
        running->entry = std::move(*entry);
        running->caller = std::make_unique<http::Client>(context.get_executor(), "127.0.0.1", running->settings.http.port, 1);
        entries.push_back(std::move(running));
        return *entries.back();
    }

    boost::asio::awaitable<http::Exchange> askPending(Running &entry, std::chrono::milliseconds patience)
    {
        http::Request request;
        request.target = "/proof/";
        request.headers = {{"Host", "proof.example"}, {"X-Api-Key", "club-key"}, {"X-Plantainfork-Deadline-Ms", std::to_string(patience.count())}};
        co_return co_await entry.caller->send(std::move(request), runtime::Clock::now() + patience + 1s);
    }

    /** Asks until the entry answers with a count, as its leader is known then. */
    void runUntilCounted(Running &entry)
    {
        const auto limit = runtime::Clock::now() + 60s;
        unsigned status = 0;
        while (status != 200 && runtime::Clock::now() < limit) {
            const auto exchange = tests::runOn(context, askPending(entry, 1s));
            status = exchange.response.ok() ? exchange.response->status : 0;
            tests::runOn(context, runtime::sleepFor(20ms));
        }
        REQUIRE(status == 200);
    }

    /** Gives the office to a process that accepts connections and says nothing. */
    void addSilentLeader()
    {
        silentLeader.emplace(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        platform::StoreClient client(context.get_executor(), {"127.0.0.1", storeServer->port()}, metrics);
        const auto session = tests::runOn(context, client.createSession(60s, runtime::Clock::now() + 5s));
        REQUIRE(session.ok());
        store::Write lock;
        lock.kind = store::Write::Kind::Lock;
        lock.key = std::string(batch::keys::Leader);
        lock.value = wire::encode(batch::LeaderRecord{base::MemberId("silent"), {"127.0.0.1", silentLeader->local_endpoint().port()}});
        lock.session = *session;
        REQUIRE(tests::runOn(context, client.transact({lock}, runtime::Clock::now() + 5s)).outcome == store::WriteOutcome::Applied);
    }

    void startStop(Running &entry)
    {
        boost::asio::co_spawn(context, entry.entry->stop(), [&entry](const std::exception_ptr &) {
            entry.stoppedAt = runtime::Clock::now();
        });
    }

    boost::asio::io_context context;
    metrics::Registry metrics;
    std::optional<boost::asio::ip::tcp::acceptor> silentLeader;
    soak::Store store;
    std::unique_ptr<http::Server> storeServer;
    std::vector<std::unique_ptr<Running>> entries;
};

} // namespace

TEST_CASE("A call for waiting jobs at a leader that stops is answered by its successor")
{
    Fixture fixture;
    auto &leader = fixture.addEntry("entry-1");
    fixture.runUntilCounted(leader);
    auto &successor = fixture.addEntry("entry-2");
    fixture.runUntilCounted(successor);
    fixture.startStop(leader);
    tests::runOn(fixture.context, runtime::sleepFor(1900ms));
    const auto exchange = tests::runOn(fixture.context, fixture.askPending(leader, 3s));
    INFO(exchange.response.status());
    REQUIRE(exchange.delivery == http::Delivery::Answered);
    CHECK(exchange.response->status == 200);
}

TEST_CASE("A call for waiting jobs is answered before a stopping entry ends, though nobody leads")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("entry-1");
    fixture.runUntilCounted(entry);
    const auto begin = runtime::Clock::now();
    fixture.startStop(entry);
    tests::runOn(fixture.context, runtime::sleepFor(1900ms));
    const auto exchange = tests::runOn(fixture.context, fixture.askPending(entry, 20s));
    INFO(exchange.response.status());
    REQUIRE(exchange.delivery == http::Delivery::Answered);
    CHECK(exchange.response->status == 503);
    CHECK(runtime::Clock::now() - begin < Grace);
}

TEST_CASE("A stop ends within its limit though the store doesn't answer, and leaves no call without an answer")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("entry-1");
    fixture.runUntilCounted(entry);
    const auto begin = runtime::Clock::now();
    fixture.store.setMode(soak::StoreMode::Silent);
    fixture.startStop(entry);
    tests::runOn(fixture.context, runtime::sleepFor(1900ms));
    const auto exchange = tests::runOn(fixture.context, fixture.askPending(entry, 20s));
    INFO(exchange.response.status());
    CHECK(exchange.delivery == http::Delivery::Answered);
    while (!entry.stoppedAt && runtime::Clock::now() - begin < Grace + 2s) {
        tests::runOn(fixture.context, runtime::sleepFor(10ms));
    }
    REQUIRE(entry.stoppedAt.has_value());
    CHECK(*entry.stoppedAt - begin < Grace);
}

TEST_CASE("A call for waiting jobs is answered while its caller waits, though the leader is silent")
{
    Fixture fixture;
    fixture.addSilentLeader();
    auto &entry = fixture.addEntry("entry-1");
    const auto limit = runtime::Clock::now() + 60s;
    const auto patience = 1000ms;
    runtime::Clock::duration took{0};
    http::Exchange exchange;
    // Until the policy is known, calls are refused at once.
    while (took < patience / 2 && runtime::Clock::now() < limit) {
        const auto begin = runtime::Clock::now();
        exchange = tests::runOn(fixture.context, fixture.askPending(entry, patience));
        took = runtime::Clock::now() - begin;
        tests::runOn(fixture.context, runtime::sleepFor(20ms));
    }
    INFO(exchange.response.status());
    REQUIRE(exchange.delivery == http::Delivery::Answered);
    CHECK(exchange.response->status == 503);
    CHECK(took > patience / 2);
    CHECK(took < patience);
}

TEST_CASE("A stop ends within a limit that is shorter than a call to a store without an answer")
{
    constexpr std::chrono::milliseconds ShortGrace{1000};
    Fixture fixture;
    auto &entry = fixture.addEntry("entry-1", ShortGrace);
    fixture.runUntilCounted(entry);
    const auto begin = runtime::Clock::now();
    fixture.store.setMode(soak::StoreMode::Silent);
    fixture.startStop(entry);
    while (!entry.stoppedAt && runtime::Clock::now() - begin < ShortGrace + 2s) {
        tests::runOn(fixture.context, runtime::sleepFor(10ms));
    }
    REQUIRE(entry.stoppedAt.has_value());
    CHECK(*entry.stoppedAt - begin < ShortGrace);
}
