#include <catch2/catch.hpp>

#include "requests/claim_store.h"
#include "requests/fake_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

using Claims = requests::ClaimStore<tests::FakeStore>;

requests::RequestKey key(const std::string &id)
{
    return {base::WorkspaceId("vets"), base::RequestId(id)};
}

requests::Claim claim(std::uint64_t nonce, std::chrono::milliseconds age = 0ms)
{
    requests::Claim claim;
    claim.agent = base::MemberId("agent");
    claim.nonce = nonce;
    claim.createdMs = (requests::unixNow() - age).count();
    return claim;
}

boost::asio::awaitable<std::size_t> sweepAll(Claims &claims)
{
    std::size_t swept = 0;
    for (unsigned shard = 0; shard < requests::ClaimShards; ++shard) {
        const auto count = co_await claims.sweep(shard);
        swept += count.value();
    }
    co_return swept;
}

} // namespace

TEST_CASE("Concurrent claims share transactions, and a conflicting claim does not fail the others")
{
    boost::asio::io_context context;
    tests::FakeStore store;
    Claims claims(context.get_executor(), store);
    REQUIRE(tests::runOn(context, claims.claim(key("7"), claim(1), store::Index())).outcome == requests::ClaimOutcome::Acquired);
    std::vector<requests::ClaimOutcome> outcomes(20, requests::ClaimOutcome::Uncertain);
    std::size_t ended = 0;
    for (int i = 0; i < 20; ++i) {
        boost::asio::co_spawn(context,
                              claims.claim(key(std::to_string(i)), claim(2), store::Index()),
                              [&, i](const std::exception_ptr &, requests::ClaimResult result) {
                                  outcomes[i] = result.outcome;
                                  ++ended;
                              });
    }
    while (ended < 20) {
        context.run_one();
    }
    REQUIRE(outcomes[7] == requests::ClaimOutcome::HeldByOther);
    REQUIRE(std::count(outcomes.begin(), outcomes.end(), requests::ClaimOutcome::Acquired) == 19);
    REQUIRE(store.transactions < 20);
}

TEST_CASE("Only claims older than the retention are swept")
{
    boost::asio::io_context context;
    tests::FakeStore store;
    Claims claims(context.get_executor(), store);
    tests::runOn(context, claims.claim(key("young"), claim(1, 23h), store::Index()));
    tests::runOn(context, claims.claim(key("old"), claim(2, 25h), store::Index()));
    REQUIRE(tests::runOn(context, sweepAll(claims)) == 1);
    REQUIRE(store.entries().begin()->first == requests::claimKey(key("young")));
}
