/** Which workspaces are closed to further jobs, how entries learn of it, and what their callers are answered. */
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "batch/admission_records.h"
#include "batch/job_request_handler.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

using Workspaces = std::set<base::WorkspaceId>;

constexpr std::size_t Budget = 1'000'000;

batch::KeptBytes kept(std::size_t atlas, std::size_t rif, std::size_t tell = 0)
{
    return {{base::WorkspaceId("atlas"), atlas}, {base::WorkspaceId("rif"), rif}, {base::WorkspaceId("tell"), tell}};
}

batch::JobSpec spec(std::uint32_t tasks, std::uint32_t steps)
{
    batch::JobSpec spec;
    spec.id = base::JobId("job");
    spec.payload = "text";
    spec.steps.resize(steps);
    for (auto &step : spec.steps) {
        step.tasks = tasks;
    }
    return spec;
}

/** A leader and two entries on one store; the workspaces "atlas" and "rif" have a key of the same name. */
struct Fixture {
    explicit Fixture(std::size_t budgetBytes)
    {
        settings.jobMemoryBytes = budgetBytes;
        store::Write write;
        write.key = "policy";
        write.value = "1";
        guard.kind = store::Write::Kind::Check;
        guard.key = "policy";
        guard.expected = data->transact({write}).written.front().modified;
        auto next = std::make_shared<batch::Policy>();
        next->version = 1;
        batch::Queue queue;
        queue.id = batch::QueueId("q");
        queue.host = "h.example";
        queue.prefix = "/q/";
        next->queues[queue.id] = queue;
        next->keys["atlas"] = base::WorkspaceId("atlas");
        next->keys["rif"] = base::WorkspaceId("rif");
        policy.set(next, guard);
        policy.confirm(runtime::Clock::now());
        beginTerm();
    }

    ~Fixture()
    {
        endTerm();
    }

    void beginTerm()
    {
        term = std::make_shared<batch::Term>(context.get_executor(), base::FencingToken(1), batch::WorkloadBounds(), runtime::Clock::now(), wake);
        store::Write lock;
        lock.kind = store::Write::Kind::Lock;
        lock.key = std::string(batch::keys::Leader);
        lock.session = term->session = data->createSession(1min);
        REQUIRE(data->transact({lock}).outcome == store::WriteOutcome::Applied);
        term->isLoaded = true;
        boost::asio::co_spawn(context, records.keep(term), boost::asio::detached);
    }

    void endTerm()
    {
        term->isOver = true;
        data->destroySession(term->session);
        runFor(2 * batch::SchedulerTiming::AdmissionInterval);
    }

    /** The leader learns of the jobs in the store. */
    void learnJobs()
    {
        for (const auto &entry : data->read(std::string(batch::keys::Jobs), true).entries) {
            term->workload.addJob(*wire::decode<batch::JobSpec>(entry.value), std::nullopt, runtime::Clock::now(), batch::wallNow());
        }
        runFor(3 * batch::SchedulerTiming::AdmissionInterval);
    }

    using Handler = batch::JobRequestHandler<tests::MemoryStore>;

    batch::Answer submit(Handler &entry, const std::string &id, const std::string &key)
    {
        batch::Submission submission;
        submission.payload = "text";
        submission.steps.emplace_back();
        policy.confirm(runtime::Clock::now());
        const batch::Caller caller{"h.example", "/q/0123456789abcdef", key, runtime::Clock::now() + 2s, "r1"};
        return tests::runOn(context, entry.submit(caller, base::JobId(id), submission));
    }

    /** Submits jobs of the workspace, from 0 on, and makes the leader learn of them. */
    void submitMany(int count, const std::string &key)
    {
        for (int i = 0; i < count; ++i) {
            REQUIRE(submit(first, key + std::to_string(i), key).kind == batch::AnswerKind::Accepted);
        }
        learnJobs();
    }

    void runFor(std::chrono::milliseconds time)
    {
        tests::runOn(context, runtime::sleepFor(time));
    }

    static boost::asio::awaitable<batch::PendingResult> noPending(runtime::Instant)
    {
        co_return batch::PendingResult();
    }

    boost::asio::io_context context;
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    tests::MemoryStore store{data};
    store::Write guard;
    metrics::Registry metrics;
    batch::Settings settings;
    runtime::Signal wake{context.get_executor()};
    batch::PolicyHolder policy{context.get_executor(), 4s};
    Handler first{store, policy, metrics, noPending};
    Handler second{store, policy, metrics, noPending};
    batch::AdmissionRecords<tests::MemoryStore> records{settings, store, metrics};
    std::shared_ptr<batch::Term> term;
};

/** Jobs of which the first half of the budget holds nine. */
std::size_t budgetOfTwentyJobs()
{
    return 20 * batch::estimatedBytes(spec(1, 1)) - 1;
}

} // namespace

TEST_CASE("Only the workspace that takes the room is closed, and opens again at a lower use")
{
    const batch::Admission admission(Budget);
    const Workspaces atlasOnly{base::WorkspaceId("atlas")};
    REQUIRE(admission.closedWorkspaces(kept(450'000, 40'000), {}).empty());
    REQUIRE(admission.closedWorkspaces(kept(480'000, 40'000), {}) == atlasOnly);
    REQUIRE(admission.closedWorkspaces(kept(420'000, 40'000), atlasOnly) == atlasOnly);
    REQUIRE(admission.closedWorkspaces(kept(350'000, 40'000), atlasOnly).empty());
    // The others may use up what is left, and no more than that.
    REQUIRE(admission.closedWorkspaces(kept(900'000, 240'000), atlasOnly) == atlasOnly);
    REQUIRE(admission.closedWorkspaces(kept(900'000, 260'000, 10'000), atlasOnly) == Workspaces{base::WorkspaceId("atlas"), base::WorkspaceId("rif")});
    REQUIRE(batch::Admission(0).closedWorkspaces(kept(900'000, 260'000), {}).empty());
}

TEST_CASE("The size to design for stays far below the bound of an entry's memory")
{
    // 18,000 jobs a day, kept for 150 s after their end, and a burst of as many as come in an hour, each of 150 tasks in 3 steps.
    constexpr std::size_t EntryBudget = 260 * 1024 * 1024 / 5;
    constexpr std::size_t Jobs = 18'000 / 24;
    REQUIRE(Jobs * batch::estimatedBytes(spec(50, 3)) < EntryBudget / 2);
    // The estimate doesn't grow with the number of tasks of a step.
    REQUIRE(batch::estimatedBytes(spec(10'000, 10)) == batch::estimatedBytes(spec(1000, 10)));
}

TEST_CASE("A workspace that hands in more than can be kept is refused at all entries, and others are not")
{
    // Without a bound on the sum over jobs the entry in office was ended by its memory, and the next one by the same jobs (review/10).
    Fixture fixture(budgetOfTwentyJobs());
    fixture.submitMany(11, "atlas");
    // The second entry has not seen the closure yet.
    for (auto *entry : {&fixture.second, &fixture.first, &fixture.second}) {
        const auto answer = fixture.submit(*entry, "late", "atlas");
        REQUIRE(answer.kind == batch::AnswerKind::WorkspaceClosed);
        REQUIRE(answer.retryAfter > 0s);
        REQUIRE(answer.reason.find("never runs") != std::string::npos);
    }
    REQUIRE(fixture.submit(fixture.second, "other", "rif").kind == batch::AnswerKind::Accepted);
    // A job that was recorded before, and whose answer was lost, is still accepted.
    REQUIRE(fixture.submit(fixture.second, "atlas3", "atlas").kind == batch::AnswerKind::Accepted);
    REQUIRE(fixture.data->read(batch::keys::jobPrefix(base::JobId("late")), true).entries.empty());
}

TEST_CASE("A write from before a closure can't be carried out after it, when the workspace is open again")
{
    Fixture fixture(budgetOfTwentyJobs());
    // As the first entry would send it before the closure.
    store::Write check;
    check.kind = store::Write::Kind::Check;
    check.key = batch::keys::admission(base::WorkspaceId("atlas"));
    store::Write late;
    late.key = batch::keys::job(base::JobId("late"), batch::keys::JobPart::Spec);
    fixture.submitMany(11, "atlas");
    REQUIRE(fixture.submit(fixture.first, "late", "atlas").kind == batch::AnswerKind::WorkspaceClosed);
    for (int i = 0; i < 11; ++i) {
        fixture.term->workload.forgetJob(base::JobId("atlas" + std::to_string(i)));
    }
    fixture.runFor(1500ms);
    REQUIRE(fixture.data->transact({check, late}).outcome == store::WriteOutcome::Conflict);
    REQUIRE(fixture.submit(fixture.first, "again", "atlas").kind == batch::AnswerKind::Accepted);
    REQUIRE(fixture.submit(fixture.second, "again-2", "atlas").kind == batch::AnswerKind::Accepted);
}

TEST_CASE("A closure holds across a change of leader, and the next leader ends it")
{
    Fixture fixture(budgetOfTwentyJobs());
    fixture.submitMany(11, "atlas");
    fixture.endTerm();
    REQUIRE(fixture.submit(fixture.second, "late", "atlas").kind == batch::AnswerKind::WorkspaceClosed);
    // The next leader has fewer jobs, as the others' records have been removed.
    fixture.beginTerm();
    fixture.runFor(1500ms);
    REQUIRE(fixture.submit(fixture.second, "again", "atlas").kind == batch::AnswerKind::Accepted);
}

TEST_CASE("What was accepted is kept by a leader with a lower bound")
{
    Fixture fixture(budgetOfTwentyJobs());
    fixture.submitMany(9, "atlas");
    fixture.endTerm();
    fixture.settings.jobMemoryBytes = 1;
    fixture.beginTerm();
    fixture.learnJobs();
    REQUIRE(fixture.term->workload.jobs().size() == 9);
    REQUIRE(fixture.submit(fixture.first, "late", "atlas").kind == batch::AnswerKind::WorkspaceClosed);
}
