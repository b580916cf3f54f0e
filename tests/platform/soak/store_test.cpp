/** The stand-in of the platform's store, through the product's own client of it. */
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "metrics/registry.h"
#include "platform/soak/store.h"
#include "platform/store_client.h"
#include "standins/program.h"

using namespace plantainfork;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

struct Bench {
    Bench()
        : store(context.get_executor())
        , server(standins::listen(context,
                                  {"127.0.0.1", 0},
                                  [this](http::Request request) {
                                      return store.answer(std::move(request));
                                  }))
        , client(context.get_executor(), {"127.0.0.1", server->port()}, metrics)
    {
    }

    template<typename T>
    T run(asio::awaitable<T> task)
    {
        std::optional<T> result;
        asio::co_spawn(context, std::move(task), [&](const std::exception_ptr &, T value) {
            result = std::move(value);
        });
        while (!result) {
            context.run_one();
        }
        return std::move(*result);
    }

    store::WriteOutcome set(const std::string &key, const std::string &value, store::Index expected)
    {
        return run(client.transact({{store::Write::Kind::Set, key, value, expected, {}}}, runtime::Clock::now() + 2s)).outcome;
    }

    asio::io_context context{1};
    metrics::Registry metrics;
    soak::Store store;
    std::unique_ptr<http::Server> server;
    platform::StoreClient client;
};

} // namespace

TEST_CASE("Writes need the revision that they expect, and are read back, page by page")
{
    Bench bench;
    REQUIRE(bench.set("k", "one", store::Index()) == store::WriteOutcome::Applied);
    REQUIRE(bench.set("k", "two", store::Index()) == store::WriteOutcome::Conflict);
    for (int i = 0; i < 120; ++i) {
        bench.store.put("many/" + std::to_string(i), "v");
    }
    const auto all = bench.run(bench.client.readPrefix("many/", runtime::Clock::now() + 2s));
    REQUIRE(all.ok());
    REQUIRE(all->entries.size() == 120);
}

TEST_CASE("Changes are followed until the history is forgotten")
{
    Bench bench;
    bench.store.put("k/1", "v");
    const auto changes = bench.run(bench.client.followPrefix("k/", store::Index(1), 1s));
    REQUIRE(changes.ok());
    REQUIRE(changes->written.size() == 1);
    bench.store.forgetHistory();
    REQUIRE(absl::IsOutOfRange(bench.run(bench.client.followPrefix("k/", store::Index(1), 1s)).status()));
}

TEST_CASE("An answer that is lost leaves the outcome unknown, and a call that is turned away does nothing")
{
    Bench bench;
    bench.store.loseAnswers(2);
    REQUIRE(bench.set("k", "v", store::Index()) == store::WriteOutcome::Unknown);
    REQUIRE(bench.run(bench.client.read("k", runtime::Clock::now() + 2s))->entries.size() == 1);
    bench.store.loseAnswers(0);
    bench.store.setMode(soak::StoreMode::TurningAway);
    REQUIRE(bench.set("other", "v", store::Index()) == store::WriteOutcome::NotSent);
}
