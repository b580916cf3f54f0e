/** How a new leader reads the jobs over the lines that it may have. */
#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "batch/job_feed.h"
#include "platform/slow_line.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** A leader's term over a slow line. */
struct TermOverSlowLine : tests::SlowLine {
    explicit TermOverSlowLine(std::uint64_t bitsPerSecond)
        : SlowLine(bitsPerSecond)
        , wake(context.get_executor())
        , term(std::make_shared<batch::Term>(context.get_executor(), base::FencingToken(1), batch::WorkloadBounds{}, runtime::Clock::now(), wake))
        , feed(client)
    {
    }

    /** A job that an earlier leader has recorded as cancelled. */
    void addCancelledJob(const std::string &id, std::size_t bytes)
    {
        batch::JobSpec spec;
        spec.id = base::JobId(id);
        spec.payload = std::string(bytes, 'x');
        spec.steps.resize(1);
        spec.steps[0].tasks = 1;
        store.put(batch::keys::job(spec.id, batch::keys::JobPart::Spec), wire::encode(spec));
        batch::JobState state;
        state.status = batch::JobStatus::Cancelled;
        store.put(batch::keys::state(spec.id), wire::encode(state));
    }

    /** Runs until all jobs and states are known; returns whether they were within the time. */
    bool runUntilLoaded(std::chrono::milliseconds time)
    {
        const auto deadline = runtime::Clock::now() + time;
        boost::asio::co_spawn(context, feed.follow(term), boost::asio::detached);
        while (!term->isLoaded && runtime::Clock::now() < deadline) {
            tests::runOn(context, runtime::sleepFor(10ms));
        }
        return term->isLoaded;
    }

    runtime::Signal wake;
    std::shared_ptr<batch::Term> term;
    batch::JobFeed<platform::StoreClient> feed;
};

} // namespace

TEST_CASE("A new leader reads all jobs, however long its line takes for them")
{
    TermOverSlowLine leader(1'000'000);
    for (int i = 0; i < 40; ++i) {
        leader.addCancelledJob("job-" + std::to_string(i), 16'000);
    }
    REQUIRE(leader.runUntilLoaded(12s));
    const auto &jobs = leader.term->workload.jobs();
    REQUIRE(jobs.size() == 40);
    REQUIRE(jobs.begin()->second.status == batch::JobStatus::Cancelled);
}

TEST_CASE("A leader whose job watch has gone silent learns of new jobs within the bound on cancellations")
{
    // A cancellation went unnoticed for ten seconds, and a task of its job was started.
    TermOverSlowLine leader(100'000'000);
    REQUIRE(leader.runUntilLoaded(5s));
    tests::runOn(leader.context, runtime::sleepFor(100ms));
    leader.link.swallow();
    leader.addCancelledJob("late", 10);
    const auto deadline = runtime::Clock::now() + 3s;
    while (leader.term->workload.jobs().empty() && runtime::Clock::now() < deadline) {
        tests::runOn(leader.context, runtime::sleepFor(10ms));
    }
    REQUIRE(leader.term->workload.jobs().size() == 1);
}

TEST_CASE("A leader learns of more new jobs than one answer of a watch can hold")
{
    // The watch was repeated from the same revision for good, so the leader would have seen no new job any more.
    TermOverSlowLine leader(400'000'000);
    REQUIRE(leader.runUntilLoaded(5s));
    tests::runOn(leader.context, runtime::sleepFor(100ms));
    constexpr int Jobs = 90;
    for (int i = 0; i < Jobs; ++i) {
        leader.addCancelledJob("late-" + std::to_string(i), 100'000);
    }
    const auto deadline = runtime::Clock::now() + 10s;
    while (leader.term->workload.jobs().size() < Jobs && runtime::Clock::now() < deadline) {
        tests::runOn(leader.context, runtime::sleepFor(10ms));
    }
    REQUIRE(leader.term->workload.jobs().size() == Jobs);
    leader.term->isOver = true;
    tests::runOn(leader.context, runtime::sleepFor(1500ms));
}
