/** How an entry's store calls go through its peers. */
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "batch/relayed_store.h"
#include "rpc/server.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** An entry's own way to the store and one through a peer. */
struct TwoWays {
    TwoWays()
        : server(std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {})))
        , channels(context.get_executor(), {})
        , relayed(direct, channels, [this] {
            return std::vector<wire::Address>{{"127.0.0.1", server->port()}};
        })
    {
        rpc::handleCall<batch::RelayCall>(*server, [this](batch::RelayCall call) {
            return serve(std::move(call));
        });
        server->start();
    }

    boost::asio::awaitable<absl::StatusOr<batch::RelayReply>> serve(batch::RelayCall call)
    {
        if (call.key == "lost") {
            co_await runtime::sleepFor(2s);
        }
        auto reply = co_await batch::serveRelay(peer, std::move(call));
        co_return reply;
    }

    boost::asio::io_context context{1};
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    tests::MemoryStore direct{data};
    tests::MemoryStore peer{data};
    std::unique_ptr<rpc::Server> server;
    rpc::ChannelPool channels;
    batch::RelayedStore<tests::MemoryStore> relayed;
};

} // namespace

TEST_CASE("A wait for changes that the store didn't answer doesn't begin anew at a peer")
{
    // After an outage in which the store was silent, entries needed a second longer than the peers' silence to confirm their policy again.
    TwoWays ways;
    const std::chrono::milliseconds wait(500);
    const store::Index now = ways.data->read("", true).index;
    SECTION("which the direct way has taken up")
    {
        ways.direct.setDelay(1h);
        const auto begin = runtime::Clock::now();
        REQUIRE(tests::runOn(ways.context, ways.relayed.followPrefix("key", now, wait)).ok());
        // The double's direct call fails after twice its wait.
        REQUIRE(runtime::Clock::now() - begin < 3 * wait);
    }
    SECTION("but is made there when the direct way fails at once")
    {
        ways.direct.setDown(true);
        const auto begin = runtime::Clock::now();
        REQUIRE(tests::runOn(ways.context, ways.relayed.followPrefix("key", now, wait)).ok());
        REQUIRE(runtime::Clock::now() - begin >= wait);
    }
}

TEST_CASE("A call that was lost in an outage doesn't shut the way through the peers once another has succeeded")
{
    // Jobs were refused for want of a way to the store just after a call through the same peer had succeeded.
    TwoWays ways;
    ways.direct.setDown(true);
    bool hasFailed = false;
    boost::asio::co_spawn(ways.context,
                          ways.relayed.read("lost", runtime::Clock::now() + 3s),
                          [&](const std::exception_ptr &, const absl::StatusOr<store::ReadResult> &result) {
                              hasFailed = !result.ok();
                          });
    tests::runOn(ways.context, runtime::sleepFor(100ms));
    REQUIRE(tests::runOn(ways.context, ways.relayed.read("key", runtime::Clock::now() + 1s)).ok());
    const auto giveUp = runtime::Clock::now() + 2s;
    while (!hasFailed && runtime::Clock::now() < giveUp) {
        tests::runOn(ways.context, runtime::sleepFor(5ms));
    }
    REQUIRE(hasFailed);
    REQUIRE(tests::runOn(ways.context, ways.relayed.read("key", runtime::Clock::now() + 1s)).ok());
}
