/** How an entry's store calls go through its peers. */
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

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

/** An entry's way to the store; each call fails with `failure` as long as that isn't ok. */
class FailingStore : public tests::MemoryStore
{
public:
    using MemoryStore::MemoryStore;
    using MemoryStore::readPrefix;

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> read(std::string key, runtime::Instant deadline)
    {
        ++calls;
        if (!failure.ok()) {
            co_return failure;
        }
        co_return co_await MemoryStore::read(std::move(key), deadline);
    }
    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, store::ReadLimits limits)
    {
        ++calls;
        if (!failure.ok()) {
            co_return failure;
        }
        co_return co_await MemoryStore::readPrefix(std::move(prefix), limits);
    }
    boost::asio::awaitable<absl::StatusOr<store::Changes>> followPrefix(std::string prefix, store::Index after, std::chrono::milliseconds wait)
    {
        ++calls;
        if (!failure.ok()) {
            co_return failure;
        }
        co_return co_await MemoryStore::followPrefix(std::move(prefix), after, wait);
    }
    boost::asio::awaitable<store::WriteResult> transact(std::vector<store::Write> writes, runtime::Instant deadline)
    {
        ++calls;
        if (!failure.ok()) {
            store::WriteResult result;
            result.outcome = store::WriteOutcome::NotSent;
            result.reason = std::string(failure.message());
            co_return result;
        }
        co_return co_await MemoryStore::transact(std::move(writes), deadline);
    }

    absl::Status failure;
    int calls = 0;
};

struct Peer {
    Peer(boost::asio::io_context &context, const std::shared_ptr<tests::MemoryData> &data)
        : store(data)
        , server(std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {})))
    {
        rpc::handleCall<batch::RelayCall>(*server, [this](batch::RelayCall call) {
            return batch::serveRelay(store, std::move(call));
        });
        server->start();
    }

    FailingStore store;
    std::unique_ptr<rpc::Server> server;
};

/** An entry that the store turns away, and its peers, of which only the last one reaches the store. */
struct Site {
    explicit Site(std::size_t peerCount, const absl::Status &failure)
    {
        store::Write write;
        write.key = "key";
        write.value = "value";
        data->transact({write});
        direct.failure = failure;
        for (std::size_t i = 0; i < peerCount; ++i) {
            peers.push_back(std::make_unique<Peer>(context, data));
            peers.back()->store.failure = i + 1 < peerCount ? failure : absl::OkStatus();
        }
    }

    bool canRead()
    {
        const auto result = tests::runOn(context, relayed.read("key", runtime::Clock::now() + Patience));
        return result.ok() && result->entries.size() == 1;
    }
    bool canReadLarge()
    {
        const auto result = tests::runOn(context, relayed.readPrefix("key", store::ReadLimits{runtime::Clock::now() + Patience, 700ms}));
        return result.ok() && result->entries.size() == 1;
    }
    bool canFollow()
    {
        const auto result = tests::runOn(context, relayed.followPrefix("key", store::Index(), 50ms));
        return result.ok() && result->written.size() == 1;
    }
    bool canWrite()
    {
        store::Write write;
        write.key = "other";
        write.value = "value";
        const auto result = tests::runOn(context, relayed.transact({write}, runtime::Clock::now() + Patience));
        return result.outcome == store::WriteOutcome::Applied;
    }

    static constexpr std::chrono::milliseconds Patience{3000};

    boost::asio::io_context context{1};
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    FailingStore direct{data};
    std::vector<std::unique_ptr<Peer>> peers;
    rpc::ChannelPool channels{context.get_executor(), {}};
    batch::RelayedStore<FailingStore> relayed{direct, channels, [this] {
                                                  std::vector<wire::Address> addresses;
                                                  for (const auto &peer : peers) {
                                                      addresses.push_back({"127.0.0.1", peer->server->port()});
                                                  }
                                                  return addresses;
                                              }};
};

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

TEST_CASE("An entry that the store turns away goes through the only peer that isn't turned away, wherever that stands in the list")
{
    const std::size_t peerCount = GENERATE(1U, 2U, 3U, 4U, 5U, 9U);
    CAPTURE(peerCount);
    SECTION("a small value")
    {
        Site site(peerCount, absl::UnavailableError("store answered 503"));
        REQUIRE(site.canRead());
    }
    SECTION("large values")
    {
        Site site(peerCount, absl::UnavailableError("store answered 503"));
        REQUIRE(site.canReadLarge());
    }
    SECTION("changes")
    {
        Site site(peerCount, absl::UnavailableError("store answered 503"));
        REQUIRE(site.canFollow());
    }
    SECTION("a write")
    {
        Site site(peerCount, absl::UnavailableError("store answered 503"));
        REQUIRE(site.canWrite());
    }
}

TEST_CASE("An entry passes over peers that can't connect to the store")
{
    const std::size_t peerCount = GENERATE(2U, 3U, 9U);
    CAPTURE(peerCount);
    SECTION("a small value")
    {
        Site site(peerCount, absl::FailedPreconditionError("connect: connection refused"));
        REQUIRE(site.canRead());
    }
    SECTION("large values")
    {
        Site site(peerCount, absl::FailedPreconditionError("connect: connection refused"));
        REQUIRE(site.canReadLarge());
    }
    SECTION("changes")
    {
        Site site(peerCount, absl::FailedPreconditionError("connect: connection refused"));
        REQUIRE(site.canFollow());
    }
}

TEST_CASE("The peer that reached the store is asked first from then on")
{
    Site site(4, absl::UnavailableError("store answered 503"));
    REQUIRE(site.canRead());
    const int callsBefore = site.peers.front()->store.calls;
    REQUIRE(site.canRead());
    REQUIRE(site.peers.front()->store.calls == callsBefore);
}

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
