/** How an entry's store calls go through its peers. */
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "batch/relayed_store.h"
#include "rpc/server.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

TEST_CASE("A wait for changes that the store didn't answer doesn't begin anew at a peer")
{
    // After an outage in which the store was silent, entries needed a second longer than the peers' silence to confirm their policy again.
    boost::asio::io_context context{1};
    const auto data = std::make_shared<tests::MemoryData>();
    tests::MemoryStore direct(data);
    tests::MemoryStore peer(data);
    const auto server = std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {}));
    rpc::handleCall<batch::RelayCall>(*server, [&](batch::RelayCall call) {
        return batch::serveRelay(peer, std::move(call));
    });
    server->start();
    rpc::ChannelPool channels(context.get_executor(), {});
    batch::RelayedStore relayed(direct, channels, [&] {
        return std::vector<wire::Address>{{"127.0.0.1", server->port()}};
    });

    const std::chrono::milliseconds wait(500);
    const store::Index now = data->read("", true).index;
    SECTION("which the direct way has taken up")
    {
        direct.setDelay(1h);
        const auto begin = runtime::Clock::now();
        REQUIRE(tests::runOn(context, relayed.followPrefix("key", now, wait)).ok());
        // The double's direct call fails after twice its wait.
        REQUIRE(runtime::Clock::now() - begin < 3 * wait);
    }
    SECTION("but is made there when the direct way fails at once")
    {
        direct.setDown(true);
        const auto begin = runtime::Clock::now();
        REQUIRE(tests::runOn(context, relayed.followPrefix("key", now, wait)).ok());
        REQUIRE(runtime::Clock::now() - begin >= wait);
    }
}
