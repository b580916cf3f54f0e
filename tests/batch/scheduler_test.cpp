/** The scheduler in office over a store double: what it records before hosts hear of it, and what it says when it may be superseded. */
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "batch/scheduler.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

using TestScheduler = batch::Scheduler<tests::MemoryStore>;

/** One entry's scheduler with a way to the store of its own. */
struct Candidate {
    Candidate(boost::asio::io_context &context, const std::shared_ptr<tests::MemoryData> &data, const std::string &id)
        : store(data)
        , policy(context.get_executor(), 4s)
    {
        settings.id = base::MemberId(id);
        settings.rpc = {id, 7000};
        auto known = std::make_shared<batch::Policy>();
        known->version = 1;
        batch::Queue queue;
        queue.id = batch::QueueId("q");
        queue.service = base::ServiceId("ledger");
        known->queues[queue.id] = queue;
        policy.set(known, {});
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

/** Two entries at most, one host, and the jobs that callers have handed in. */
struct Site {
    Candidate &addEntry(const std::string &id)
    {
        entries.push_back(std::make_unique<Candidate>(context, data, id));
        return *entries.back();
    }

    void addJob(const std::string &id)
    {
        batch::JobSpec spec;
        spec.id = base::JobId(id);
        spec.queue = batch::QueueId("q");
        spec.service = base::ServiceId("ledger");
        spec.payload = "text";
        spec.steps.emplace_back();
        spec.steps.back().need = {100, 100, 0};
        spec.steps.back().estimate = 10s;
        store::Write write;
        write.key = batch::keys::job(spec.id, batch::keys::JobPart::Spec);
        write.value = wire::encode(spec);
        data->transact({write});
    }

    /** The host's agent calls the entry once and takes what it is told. */
    batch::SyncReply call(Candidate &entry)
    {
        batch::SyncCall call;
        call.host = batch::HostId("host");
        call.agentIncarnation = 1;
        call.sequence = ++sequence;
        call.hasReport = true;
        call.report.incarnation = {"i-1", 1};
        call.report.service = base::ServiceId("ledger");
        call.report.capacity = {64'000, 256'000, 8};
        call.listToken = token;
        const auto reply = tests::runOn(context, entry.scheduler->sync(call));
        REQUIRE(reply.ok());
        if (reply->isLeader) {
            token = reply->token;
        }
        return *reply;
    }

    /** Calls until the condition holds; gives up after a time that no busy machine needs. */
    template<typename Condition>
    batch::SyncReply callUntil(Candidate &entry, Condition condition)
    {
        const auto giveUpAt = runtime::Clock::now() + 60s;
        while (true) {
            REQUIRE(runtime::Clock::now() < giveUpAt);
            const auto reply = call(entry);
            if (condition(reply)) {
                return reply;
            }
            tests::runOn(context, runtime::sleepFor(2ms));
        }
    }

    void stop()
    {
        for (const auto &entry : entries) {
            tests::runOn(context, entry->scheduler->stop());
        }
        entries.clear();
    }

    boost::asio::io_context context;
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    std::vector<std::unique_ptr<Candidate>> entries;
    std::uint64_t sequence = 0;
    base::FencingToken token;
};

bool isInOffice(const batch::SyncReply &reply)
{
    return reply.isLeader;
}

} // namespace

TEST_CASE("A round that places many jobs is recorded within the store's entries")
{
    // Replays the first round after an outage, when all jobs change at once.
    Site site;
    auto &entry = site.addEntry("e1");
    entry.store.setMostEntries(32);
    for (int i = 0; i < 40; ++i) {
        site.addJob("job-" + std::to_string(i));
    }
    const auto reply = site.callUntil(entry, [](const batch::SyncReply &told) {
        return told.orders.runs.size() == 40;
    });
    REQUIRE(site.data->read(std::string(batch::keys::States), true).entries.size() == 40);
    REQUIRE(reply.orders.runs.front().payload == "text");
    site.stop();
}

TEST_CASE("Nothing is ordered that the store has not recorded")
{
    Site site;
    auto &entry = site.addEntry("e1");
    site.callUntil(entry, isInOffice);
    site.callUntil(entry, [&](const batch::SyncReply &) {
        return entry.store.writes() > 0;
    });
    entry.store.loseRequests(3);
    site.addJob("job");
    site.callUntil(entry, [](const batch::SyncReply &told) {
        return told.orders.runs.size() == 1;
    });
    REQUIRE(site.data->read(std::string(batch::keys::States), true).entries.size() == 1);
    site.stop();
}

TEST_CASE("A scheduler whose lease may have lapsed says so, and its successor has a higher token")
{
    Site site;
    auto &first = site.addEntry("e1");
    const auto held = site.callUntil(first, isInOffice);
    REQUIRE_FALSE(held.isDoubtful);
    first.store.setDown(true);
    auto &second = site.addEntry("e2");
    const auto doubted = site.callUntil(first, [](const batch::SyncReply &told) {
        return told.isDoubtful || !told.isLeader;
    });
    REQUIRE(doubted.isLeader);
    REQUIRE(doubted.grant <= held.grant);
    const auto next = site.callUntil(second, isInOffice);
    REQUIRE(next.token > held.token);
    site.stop();
}
