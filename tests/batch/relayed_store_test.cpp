/** How an entry that the store turns away finds a peer that reaches it. */
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

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
