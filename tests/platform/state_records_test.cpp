/** How the leader records the jobs' states over the lines that it may have. */
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "batch/state_records.h"
#include "platform/slow_line.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** A job of many tasks that have failed once, which has changed. */
void addChangedJob(batch::Term &term, const std::string &id, std::uint32_t tasks)
{
    batch::JobSpec spec;
    spec.id = base::JobId(id);
    spec.steps.resize(1);
    spec.steps[0].tasks = tasks + 1;
    batch::JobState state;
    state.status = batch::JobStatus::Active;
    for (std::uint32_t i = 0; i < tasks; ++i) {
        batch::UnitRecord unit;
        unit.index = i;
        unit.attempt = batch::Attempt(1);
        unit.failures = {unit.attempt};
        state.units.push_back(unit);
    }
    term.workload.addJob(spec, state, runtime::Clock::now(), batch::wallNow());
    term.workload.jobs().at(spec.id).isDirty = true;
}

} // namespace

TEST_CASE("The leader records the states of large jobs over a line that is too slow for all of them in one call")
{
    tests::SlowLine line(2'000'000);
    runtime::Signal wake(line.context.get_executor());
    batch::Term term(line.context.get_executor(), base::FencingToken(1), batch::WorkloadBounds{}, runtime::Clock::now(), wake);
    batch::Settings settings;
    batch::StateRecords<platform::StoreClient> records(line.context.get_executor(), settings, line.client, line.metrics);
    const auto session = tests::runOn(line.context, line.client.createSession(10min, runtime::Clock::now() + 5s));
    REQUIRE(session.ok());
    term.session = *session;
    for (std::uint32_t i = 0; i < batch::SchedulerTiming::RecordsPerTransaction; ++i) {
        addChangedJob(term, "job-" + std::to_string(i), 2500);
    }
    bool isWritten = false;
    auto encoded = records.encode(term);
    REQUIRE(encoded.size() == batch::SchedulerTiming::RecordsPerTransaction);
    std::size_t bytes = 0;
    for (const auto &record : encoded) {
        bytes += record.value.size();
    }
    REQUIRE(bytes > 400'000);
    boost::asio::co_spawn(line.context, records.write(term, std::move(encoded)), [&](const std::exception_ptr &failure, batch::RecordResult result) {
        isWritten = failure == nullptr && result == batch::RecordResult::Written;
    });
    const auto deadline = runtime::Clock::now() + 8s;
    while (!isWritten && runtime::Clock::now() < deadline) {
        tests::runOn(line.context, runtime::sleepFor(10ms));
    }
    REQUIRE(isWritten);
    REQUIRE(term.stateIndex.size() == batch::SchedulerTiming::RecordsPerTransaction);
}

TEST_CASE("A record that takes a slow line longer than a store call does is written in the end")
{
    tests::SlowLine line(1'000'000);
    runtime::Signal wake(line.context.get_executor());
    const auto term = std::make_shared<batch::Term>(line.context.get_executor(), base::FencingToken(1), batch::WorkloadBounds{}, runtime::Clock::now(), wake);
    batch::Settings settings;
    batch::StateRecords<platform::StoreClient> records(line.context.get_executor(), settings, line.client, line.metrics);
    const auto session = tests::runOn(line.context, line.client.createSession(10min, runtime::Clock::now() + 5s));
    REQUIRE(session.ok());
    term->session = *session;
    addChangedJob(*term, "job", 20'000);
    REQUIRE(records.encode(*term).empty());
    boost::asio::co_spawn(line.context, records.writeApart(term), boost::asio::detached);
    const auto deadline = runtime::Clock::now() + 12s;
    while (term->stateIndex.empty() && runtime::Clock::now() < deadline) {
        tests::runOn(line.context, runtime::sleepFor(10ms));
    }
    REQUIRE(term->stateIndex.size() == 1);
    term->isOver = true;
    tests::runOn(line.context, runtime::sleepFor(1s));
}
