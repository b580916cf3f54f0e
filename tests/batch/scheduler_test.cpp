/** The leader on an in-memory store: what it records before it sends orders, and its replies while its lease may have lapsed. */
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include <boost/asio/io_context.hpp>

#include "batch/scheduler.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

using TestScheduler = batch::Scheduler<tests::MemoryStore>;

/** The scheduler of one entry, with a store client of its own. */
struct Entry {
    Entry(boost::asio::io_context &context, const std::shared_ptr<tests::MemoryData> &data, const std::string &id)
        : store(data)
        , policy(context.get_executor(), 4s)
    {
        settings.id = base::MemberId(id);
        settings.rpc = {id, 7000};
        auto policyCopy = std::make_shared<batch::Policy>();
        policyCopy->version = 1;
        batch::Queue queue;
        queue.id = batch::QueueId("q");
        queue.service = base::ServiceId("ledger");
        policyCopy->queues[queue.id] = queue;
        policy.set(policyCopy, {});
        policy.confirm(runtime::Clock::now());
        scheduler = std::make_shared<TestScheduler>(context.get_executor(), settings, store, policy, metrics);
        scheduler->start();
    }

    batch::Settings settings;
    tests::MemoryStore store;
    batch::PolicyHolder policy;
    metrics::Registry metrics;
    std::shared_ptr<TestScheduler> scheduler;
};

/** Up to two entries on a common store, one host, and submitted jobs. */
struct Fixture {
    Entry &addEntry(const std::string &id)
    {
        entries.push_back(std::make_unique<Entry>(context, data, id));
        return *entries.back();
    }

    void addJob(const std::string &id, std::uint32_t tasks = 1, const std::string &payload = "text")
    {
        batch::JobSpec spec;
        spec.id = base::JobId(id);
        spec.queue = batch::QueueId("q");
        spec.service = base::ServiceId("ledger");
        spec.payload = payload;
        spec.steps.emplace_back();
        spec.steps.back().tasks = tasks;
        spec.steps.back().need = {tasks > 1 ? 10 : 100, tasks > 1 ? 10 : 100, 0};
        spec.steps.back().estimate = 10s;
        store::Write write;
        write.key = batch::keys::job(spec.id, batch::keys::JobPart::Spec);
        write.value = wire::encode(spec);
        data->transact({write});
    }

    /** The next sync call of the host's agent. */
    batch::SyncCall call()
    {
        batch::SyncCall call;
        call.host = batch::HostId("host");
        call.agentIncarnation = 1;
        call.sequence = ++sequence;
        call.hasReport = true;
        call.report.incarnation = {incarnation, 1};
        call.report.service = base::ServiceId("ledger");
        call.report.capacity = {64'000, 256'000, 8};
        call.isExecutorReached = true;
        for (const auto &run : running) {
            call.running.push_back({run, "", 1});
        }
        call.confirmed = confirmed;
        call.token = token;
        call.listToken = token;
        return call;
    }

    /** Sends one sync call of the host's agent to the entry and returns the reply. */
    batch::SyncReply sendSync(Entry &entry)
    {
        const auto reply = tests::runOn(context, entry.scheduler->sync(call()));
        REQUIRE(reply.ok());
        if (reply->isLeader) {
            token = reply->token;
        }
        return *reply;
    }

    /** Repeats sync calls until the condition holds; fails after a time that is ample on a busy machine. */
    template<typename Condition>
    batch::SyncReply syncUntil(Entry &entry, Condition condition)
    {
        const auto deadline = runtime::Clock::now() + 60s;
        while (true) {
            REQUIRE(runtime::Clock::now() < deadline);
            const auto reply = sendSync(entry);
            if (condition(reply)) {
                return reply;
            }
            tests::runOn(context, runtime::sleepFor(2ms));
        }
    }

    /** The number of waiting jobs of the queue, as the entry in office counts them. */
    static boost::asio::awaitable<std::uint64_t> countWaiting(Entry &entry)
    {
        const batch::PendingCall call;
        const auto counted = co_await entry.scheduler->pending(call);
        REQUIRE(counted.ok());
        REQUIRE(counted->isLeader);
        co_return counted->counts.at(0);
    }

    void stop()
    {
        for (const auto &entry : entries) {
            tests::runOn(context, entry->scheduler->stop(runtime::Clock::now() + 5s));
        }
        entries.clear();
    }

    boost::asio::io_context context;
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    std::vector<std::unique_ptr<Entry>> entries;
    std::uint64_t sequence = 0;
    base::FencingToken token;
    /** The executor's instance, and what it runs. */
    std::string incarnation = "i-1";
    std::vector<batch::RunId> running;
    /** Starts that it has confirmed, and whose runs it hasn't listed. */
    std::vector<batch::RunId> confirmed;
};

bool isFromLeader(const batch::SyncReply &reply)
{
    return reply.isLeader;
}

} // namespace

TEST_CASE("A round that places many jobs is recorded in transactions within the store's limit")
{
    // In the first round after an outage all jobs change at once, which exceeds the operations of one transaction.
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    entry.store.setMostEntries(32);
    for (int i = 0; i < 40; ++i) {
        fixture.addJob("job-" + std::to_string(i));
    }
    const auto reply = fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return received.orders.runs.size() == 40;
    });
    REQUIRE(fixture.data->read(std::string(batch::keys::States), true).entries.size() == 40);
    REQUIRE(reply.orders.runs.front().payload == "text");
    fixture.stop();
}

TEST_CASE("A run is ordered only after the store has recorded it")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.syncUntil(entry, isFromLeader);
    fixture.syncUntil(entry, [&](const batch::SyncReply &) {
        return entry.store.writes() > 0;
    });
    entry.store.loseRequests(3);
    fixture.addJob("job");
    fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return received.orders.runs.size() == 1;
    });
    REQUIRE(fixture.data->read(std::string(batch::keys::States), true).entries.size() == 1);
    fixture.stop();
}

TEST_CASE("A leader whose lease may have lapsed marks its replies as doubtful, and its successor has a higher token")
{
    Fixture fixture;
    auto &first = fixture.addEntry("e1");
    const auto firstReply = fixture.syncUntil(first, isFromLeader);
    REQUIRE_FALSE(firstReply.isDoubtful);
    first.store.setDown(true);
    auto &second = fixture.addEntry("e2");
    const auto doubtfulReply = fixture.syncUntil(first, [](const batch::SyncReply &received) {
        return received.isDoubtful || !received.isLeader;
    });
    REQUIRE(doubtfulReply.isLeader);
    REQUIRE(doubtfulReply.grant <= firstReply.grant);
    const auto secondReply = fixture.syncUntil(second, isFromLeader);
    REQUIRE(secondReply.token > firstReply.token);
    fixture.stop();
}

TEST_CASE("An agent that has the current orders and entries is sent neither again")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    entry.scheduler->setEntries({{base::MemberId("e1"), {"e1", 7000}, 1.0}, {base::MemberId("e2"), {"e2", 7000}, 1.0}});
    fixture.addJob("job");
    const auto first = fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return received.orders.runs.size() == 1;
    });
    REQUIRE(first.entries.size() == 2);
    batch::SyncCall call = fixture.call();
    call.ordersToken = first.token;
    call.ordersVersion = first.orders.version;
    call.entriesVersion = first.entriesVersion;
    const auto next = tests::runOn(fixture.context, entry.scheduler->sync(call));
    REQUIRE(next.ok());
    REQUIRE(next->orders.version == first.orders.version);
    REQUIRE(next->orders.runs.empty());
    REQUIRE(next->entries.empty());
    fixture.stop();
}

TEST_CASE("The call of an agent without an executor is held, not answered at once")
{
    // Before the executors announce themselves, or while they are down, agents would otherwise call as fast as the network allows.
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.syncUntil(entry, isFromLeader);
    batch::SyncCall call = fixture.call();
    call.host = batch::HostId("idle");
    call.hasReport = false;
    call.listToken = {};
    call.wait = 300ms;
    const auto begin = runtime::Clock::now();
    const auto reply = tests::runOn(fixture.context, entry.scheduler->sync(call));
    REQUIRE(reply.ok());
    REQUIRE(reply->isLeader);
    REQUIRE(runtime::Clock::now() - begin >= 300ms);
    fixture.stop();
}

// Guards against a leader that is kept busy by calls: such an agent was answered at once, each time.
TEST_CASE("The call of an agent whose executor hasn't listed its runs in the term is held once the agent knows the token")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.syncUntil(entry, isFromLeader);
    batch::SyncCall call = fixture.call();
    call.host = batch::HostId("away");
    call.token = {};
    call.listToken = {};
    call.isExecutorReached = false;
    // An agent calls again as soon as it has an answer, which takes the network a few milliseconds.
    const auto end = runtime::Clock::now() + 1s;
    int calls = 0;
    while (runtime::Clock::now() < end) {
        call.sequence = fixture.call().sequence;
        call.wait = 700ms;
        const auto reply = tests::runOn(fixture.context, entry.scheduler->sync(call));
        REQUIRE(reply.ok());
        call.token = reply->token;
        if (reply->orders.version != 0 && reply->orders.incarnation == call.report.incarnation) {
            call.ordersToken = reply->token;
            call.ordersVersion = reply->orders.version;
        }
        ++calls;
        tests::runOn(fixture.context, runtime::sleepFor(5ms));
    }
    REQUIRE(calls < 50);
    fixture.stop();
}

TEST_CASE("A leader skips job records that it can't use and serves the other jobs")
{
    // The same record would otherwise end one leader after the other.
    Fixture fixture;
    batch::JobSpec spec;
    spec.queue = batch::QueueId("q");
    spec.service = base::ServiceId("ledger");
    spec.steps.emplace_back();
    const auto writeSpec = [&](const std::string &id) {
        spec.id = base::JobId(id);
        store::Write write;
        write.key = batch::keys::job(spec.id, batch::keys::JobPart::Spec);
        write.value = wire::encode(spec);
        fixture.data->transact({write});
    };
    spec.steps.back().dependsOn = {4'000'000'000U};
    writeSpec("depends-on-nothing");
    spec.steps.back().dependsOn.clear();
    spec.steps.back().tasks = 0;
    writeSpec("no-tasks");
    spec.steps.clear();
    writeSpec("no-steps");
    fixture.addJob("job");
    auto &entry = fixture.addEntry("e1");
    const auto reply = fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return !received.orders.runs.empty();
    });
    REQUIRE(reply.orders.runs.size() == 1);
    REQUIRE(reply.orders.runs.front().run.task.job.value() == "job");
    fixture.stop();
}

TEST_CASE("A call that a new leader receives while it is loading counts as soon as it has loaded")
{
    // After a change of leader all agents call before the jobs are read; if their reports counted only with the next call, nothing could be
    // placed for another long poll.
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    entry.store.setDelay(100ms);
    fixture.addJob("job");
    fixture.syncUntil(entry, isFromLeader);
    batch::SyncCall call = fixture.call();
    call.wait = 1000ms;
    const auto reply = tests::runOn(fixture.context, entry.scheduler->sync(call));
    REQUIRE(reply.ok());
    REQUIRE(reply->orders.runs.size() == 1);
    entry.store.setDelay(0ms);
    fixture.stop();
}

// Guards against an executor's lease that is kept up for a leader that has given its runs up.
TEST_CASE("An agent that doesn't reach its executor is granted nothing")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return received.isLeader && received.grant > 0ms;
    });
    batch::SyncCall call = fixture.call();
    call.isExecutorReached = false;
    const auto reply = tests::runOn(fixture.context, entry.scheduler->sync(call));
    REQUIRE(reply.ok());
    REQUIRE(reply->isLeader);
    REQUIRE(reply->grant == 0ms);
    fixture.stop();
}

// Guards against work that runs twice: calls that the leader ignored as those of an earlier process were still granted the executor's lease.
TEST_CASE("A call of an agent's earlier process is granted nothing, and learns of the later one")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return received.isLeader && received.grant > 0ms;
    });
    batch::SyncCall later = fixture.call();
    later.agentIncarnation = 7;
    const auto reply = tests::runOn(fixture.context, entry.scheduler->sync(later));
    REQUIRE(reply.ok());
    REQUIRE(reply->agentIncarnation == 7);
    REQUIRE(reply->grant > 0ms);
    batch::SyncCall earlier = fixture.call();
    earlier.agentIncarnation = 6;
    const auto refused = tests::runOn(fixture.context, entry.scheduler->sync(earlier));
    REQUIRE(refused.ok());
    REQUIRE(refused->agentIncarnation == 7);
    REQUIRE(refused->grant == 0ms);
    earlier.agentIncarnation = 8;
    const auto granted = tests::runOn(fixture.context, entry.scheduler->sync(earlier));
    REQUIRE(granted.ok());
    REQUIRE(granted->grant > 0ms);
    fixture.stop();
}

// Guards against work that runs again: a leader out of office removed a job's records between the next leader's readings of its jobs and of their states.
TEST_CASE("An entry that has lost the office removes no job's records")
{
    Fixture fixture;
    tests::MemoryStore store(fixture.data);
    metrics::Registry metrics;
    batch::Settings settings;
    runtime::Signal wake(fixture.context.get_executor());
    const auto term =
        std::make_shared<batch::Term>(fixture.context.get_executor(), base::FencingToken(1), batch::WorkloadBounds{}, runtime::Clock::now(), wake);
    term->session = fixture.data->createSession(1min);
    store::Write lock;
    lock.kind = store::Write::Kind::Lock;
    lock.key = std::string(batch::keys::Leader);
    lock.session = term->session;
    REQUIRE(fixture.data->transact({lock}).outcome == store::WriteOutcome::Applied);

    fixture.addJob("job");
    const auto spec = fixture.data->read(batch::keys::job(base::JobId("job"), batch::keys::JobPart::Spec), false);
    batch::JobState state;
    state.status = batch::JobStatus::Complete;
    store::Write record;
    record.key = batch::keys::state(base::JobId("job"));
    record.value = wire::encode(state);
    const auto written = fixture.data->transact({record});
    REQUIRE(written.outcome == store::WriteOutcome::Applied);
    term->stateIndex[base::JobId("job")] = written.written.front().modified;
    auto decoded = wire::decode<batch::JobSpec>(spec.entries.front().value);
    REQUIRE(decoded.ok());
    term->workload.addJob(*decoded, state, runtime::Clock::now(), batch::wallNow());

    batch::StateRecords<tests::MemoryStore> records(fixture.context.get_executor(), settings, store, metrics);
    boost::asio::co_spawn(fixture.context, records.removeExpiredJobs(term), boost::asio::detached);
    SECTION("which has passed to another entry")
    {
        fixture.data->destroySession(term->session);
        lock.session = fixture.data->createSession(1min);
        REQUIRE(fixture.data->transact({lock}).outcome == store::WriteOutcome::Applied);
        tests::runOn(fixture.context, runtime::sleepFor(batch::SchedulerTiming::CleanupInterval + 300ms));
        REQUIRE_FALSE(fixture.data->read(record.key, false).entries.empty());
        REQUIRE_FALSE(fixture.data->read(batch::keys::job(base::JobId("job"), batch::keys::JobPart::Spec), false).entries.empty());
    }
    SECTION("but while it has the office, it removes them")
    {
        tests::runOn(fixture.context, runtime::sleepFor(batch::SchedulerTiming::CleanupInterval + 300ms));
        REQUIRE(fixture.data->read(record.key, false).entries.empty());
    }
    term->isOver = true;
    tests::runOn(fixture.context, runtime::sleepFor(batch::SchedulerTiming::CleanupInterval + 300ms));
}

TEST_CASE("An entry that stops goes on knowing who leads")
{
    Fixture fixture;
    auto &first = fixture.addEntry("e1");
    fixture.syncUntil(first, isFromLeader);
    auto &follower = fixture.addEntry("e2");
    const auto deadline = runtime::Clock::now() + 60s;
    const auto runUntilLeaderIs = [&](const Entry &entry, const wire::Address &leader) {
        while (entry.scheduler->leader() != leader && runtime::Clock::now() < deadline) {
            tests::runOn(fixture.context, runtime::sleepFor(2ms));
        }
        CHECK(entry.scheduler->leader() == leader);
    };
    runUntilLeaderIs(follower, first.settings.rpc);
    // Both stop, as when entries are restarted one after the other: the leader and one that isn't in office.
    tests::runOn(fixture.context, follower.scheduler->stop(runtime::Clock::now() + 5s));
    tests::runOn(fixture.context, first.scheduler->stop(runtime::Clock::now() + 5s));
    auto &successor = fixture.addEntry("e3");
    fixture.syncUntil(successor, isFromLeader);
    const auto limit = runtime::Clock::now() + 1s;
    while ((first.scheduler->leader() != successor.settings.rpc || follower.scheduler->leader() != successor.settings.rpc) && runtime::Clock::now() < limit) {
        tests::runOn(fixture.context, runtime::sleepFor(2ms));
    }
    CHECK(first.scheduler->leader() == successor.settings.rpc);
    CHECK(follower.scheduler->leader() == successor.settings.rpc);
    fixture.stop();
}

TEST_CASE("An entry that is asked to stop while it takes the office doesn't keep it")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    entry.store.setDelay(50ms);
    const auto deadline = runtime::Clock::now() + 60s;
    while (entry.store.writes() == 0 && runtime::Clock::now() < deadline) {
        tests::runOn(fixture.context, runtime::sleepFor(2ms));
    }
    tests::runOn(fixture.context, entry.scheduler->stop(runtime::Clock::now() + 5s));
    tests::runOn(fixture.context, runtime::sleepFor(500ms));
    CHECK_FALSE(fixture.sendSync(entry).isLeader);
    const auto record = fixture.data->read(std::string(batch::keys::Leader), false);
    CHECK((record.entries.empty() || record.entries.front().session.isEmpty()));
    fixture.stop();
}

namespace
{

/** The ordered runs of the job. */
std::size_t countRuns(const batch::SyncReply &reply, const std::string &job)
{
    return static_cast<std::size_t>(std::count_if(reply.orders.runs.begin(), reply.orders.runs.end(), [&](const batch::RunOrder &order) {
        return order.run.task.job.value() == job;
    }));
}

} // namespace

TEST_CASE("A job whose record the store doesn't take keeps no other job from running")
{
    // The write of a record larger than a value of the store was repeated for good, and nothing of anybody was started (review/9).
    const std::uint32_t tasks = GENERATE(60U, 2000U);
    CAPTURE(tasks);
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    entry.store.setMostValueBytes(500);
    fixture.addJob("big", tasks);
    fixture.addJob("first");
    fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return countRuns(received, "first") == 1;
    });
    fixture.addJob("second");
    const auto reply = fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return countRuns(received, "first") == 1 && countRuns(received, "second") == 1;
    });
    // Nothing is started that isn't recorded, and the write isn't repeated without a pause.
    REQUIRE(countRuns(reply, "big") == 0);
    tests::runOn(fixture.context, runtime::sleepFor(2s));
    REQUIRE(entry.store.rejections() < 10);
    REQUIRE(fixture.data->read(batch::keys::state(base::JobId("big")), false).entries.empty());
    fixture.stop();
}

TEST_CASE("A large record delays no other job, and its starts are ordered once it is written")
{
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.syncUntil(entry, isFromLeader);
    fixture.incarnation = "i-1-with-a-long-name-so-that-the-record-of-a-thousand-runs-is-large";
    fixture.addJob("big", 1000);
    const auto reply = fixture.syncUntil(entry, [](const batch::SyncReply &received) {
        return countRuns(received, "big") == 1000;
    });
    REQUIRE(reply.orders.runs.front().payload == "text");
    const auto found = fixture.data->read(batch::keys::state(base::JobId("big")), false);
    REQUIRE(found.entries.size() == 1);
    REQUIRE(found.entries.front().value.size() > batch::JobLimits::ApartRecordBytes);
    REQUIRE(wire::decode<batch::JobState>(found.entries.front().value)->units.size() == 1000);
    fixture.stop();
}

TEST_CASE("A host is sent the payloads of its starts in parts that a message can hold")
{
    // A reply with the payloads of 1,200 tasks exceeded what a call between daemons takes, so the host never got any orders again.
    Fixture fixture;
    auto &entry = fixture.addEntry("e1");
    fixture.addJob("big", 1000, std::string(4000, 'x'));
    std::set<batch::RunId> ordered;
    std::size_t largest = 0;
    while (ordered.size() < 1000) {
        const auto before = ordered.size();
        fixture.running.assign(ordered.begin(), ordered.end());
        fixture.syncUntil(entry, [&](const batch::SyncReply &received) {
            largest = std::max(largest, wire::encode(received).size());
            for (const auto &order : received.orders.runs) {
                REQUIRE((order.isComplete ? order.payload.size() == 4000 : ordered.contains(order.run)));
                ordered.insert(order.run);
            }
            return ordered.size() > before;
        });
    }
    REQUIRE(largest < 1024 * 1024);
    fixture.stop();
}

// Guards against MIXED: the number of waiting jobs left out those that had been placed, whether or not a task had begun.
TEST_CASE("Jobs whose starts are ordered are counted as waiting until a task has begun, by the next leader, too")
{
    Fixture fixture;
    auto &first = fixture.addEntry("e1");
    fixture.addJob("begins");
    fixture.addJob("waits");
    const auto reply = fixture.syncUntil(first, [](const batch::SyncReply &received) {
        return received.orders.runs.size() == 2;
    });
    const auto waiting = [&](Entry &entry) {
        return tests::runOn(fixture.context, Fixture::countWaiting(entry));
    };
    REQUIRE(waiting(first) == 2);
    for (const auto &order : reply.orders.runs) {
        if (order.run.task.job.value() == "begins") {
            fixture.confirmed = {order.run};
        }
    }
    const auto stateOf = [&](const std::string &id) {
        const auto found = fixture.data->read(batch::keys::state(base::JobId(id)), false);
        const auto state = wire::decode<batch::JobState>(found.entries.at(0).value);
        REQUIRE(state.ok());
        return state->status;
    };
    fixture.syncUntil(first, [&](const batch::SyncReply &) {
        return stateOf("begins") == batch::JobStatus::Active;
    });
    REQUIRE(waiting(first) == 1);
    REQUIRE(stateOf("waits") == batch::JobStatus::Queued);
    // The next leader counts by the records until it hears of the host.
    tests::runOn(fixture.context, first.scheduler->stop(runtime::Clock::now() + 5s));
    auto &second = fixture.addEntry("e2");
    fixture.confirmed.clear();
    fixture.syncUntil(second, isFromLeader);
    fixture.syncUntil(second, [](const batch::SyncReply &received) {
        return received.orders.version > 0;
    });
    REQUIRE(waiting(second) == 1);
    fixture.stop();
}
