/** What callers are told while the store loses answers, is away, or holds another policy than this entry. */
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "batch/front.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** A front over a store double that holds a policy of one queue. */
struct Desk {
    Desk()
        : store(data)
        , policy(context.get_executor(), 4s)
        , front(store, policy, metrics, []() -> boost::asio::awaitable<std::optional<batch::PendingReply>> {
            co_return std::nullopt;
        })
    {
        setPolicy(1);
    }

    /** Writes the policy's key and makes this entry know it. */
    void setPolicy(std::uint64_t version)
    {
        store::Write write;
        write.key = "policy";
        write.value = std::to_string(version);
        write.expected = guard.expected;
        guard.expected = data->transact({write}).written.front().modified;
        guard.kind = store::Write::Kind::Check;
        guard.key = "policy";
        know(version);
    }

    void know(std::uint64_t version)
    {
        auto next = std::make_shared<batch::Policy>();
        next->version = version;
        batch::Queue queue;
        queue.id = batch::QueueId("q");
        queue.host = "h.example";
        queue.prefix = "/q/";
        next->queues[queue.id] = queue;
        next->keys["key"] = base::WorkspaceId("atlas");
        policy.set(next, guard);
        policy.confirm(runtime::Clock::now());
    }

    batch::Answer submit(const std::string &id, const std::string &key = "key")
    {
        batch::Submission submission;
        submission.payload = "text";
        submission.steps.emplace_back();
        return tests::runOn(context, front.submit(caller(key), base::JobId(id), submission));
    }
    batch::Answer status(const std::string &id)
    {
        return tests::runOn(context, front.status(caller("key"), base::JobId(id)));
    }
    batch::Answer cancel(const std::string &id)
    {
        return tests::runOn(context, front.cancel(caller("key"), base::JobId(id)));
    }
    static batch::Caller caller(const std::string &key)
    {
        return {"h.example", "/q/0123456789abcdef", key, runtime::Clock::now() + 600ms};
    }

    boost::asio::io_context context;
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    tests::MemoryStore store;
    store::Write guard;
    metrics::Registry metrics;
    batch::PolicyHolder policy;
    batch::Front<tests::MemoryStore> front;
};

} // namespace

TEST_CASE("A job is accepted once, and a repeat under its id is the same job")
{
    Desk desk;
    REQUIRE(desk.submit("a").kind == batch::AnswerKind::Accepted);
    REQUIRE(desk.submit("a").kind == batch::AnswerKind::Accepted);
    REQUIRE(desk.data->read(std::string(batch::keys::Jobs), true).entries.size() == 1);
    REQUIRE(desk.status("a").status == batch::JobStatus::Queued);
    REQUIRE(desk.status("b").kind == batch::AnswerKind::NoSuchJob);
}

TEST_CASE("A write whose answer is lost is settled by repeating it, never refused by guess")
{
    Desk desk;
    desk.store.loseAnswers(1);
    REQUIRE(desk.submit("a").kind == batch::AnswerKind::Accepted);
    desk.store.loseAnswers(1000);
    REQUIRE(desk.submit("b").kind != batch::AnswerKind::Refused);
    desk.store.loseAnswers(0);
    desk.store.loseRequests(100'000);
    REQUIRE(desk.submit("c").kind == batch::AnswerKind::Unclear);
}

TEST_CASE("A store that can't be reached refuses at once")
{
    Desk desk;
    desk.store.setDown(true);
    const auto begin = runtime::Clock::now();
    REQUIRE(desk.submit("a").kind == batch::AnswerKind::Refused);
    REQUIRE(runtime::Clock::now() - begin < 300ms);
    REQUIRE(desk.data->read(std::string(batch::keys::Jobs), true).entries.empty());
}

TEST_CASE("An entry with an old policy can't accept")
{
    Desk desk;
    const auto known = desk.guard;
    desk.setPolicy(2);
    auto old = std::make_shared<batch::Policy>(*desk.policy.policy());
    old->version = 3;
    desk.policy.set(old, known);
    REQUIRE(desk.submit("a").kind == batch::AnswerKind::Refused);
    REQUIRE(desk.data->read(std::string(batch::keys::Jobs), true).entries.empty());
}

TEST_CASE("A policy that the store hasn't confirmed lately serves nobody and refuses nobody for good")
{
    Desk desk;
    REQUIRE(desk.submit("a", "unknown").kind == batch::AnswerKind::UnknownKey);
    runtime::Clock::pause();
    runtime::Clock::advance(5s);
    REQUIRE(desk.submit("a", "unknown").kind == batch::AnswerKind::Refused);
    REQUIRE(desk.status("a").kind == batch::AnswerKind::Refused);
    runtime::Clock::resume();
}

TEST_CASE("A cancelled job is told as cancelled before the scheduler has seen it")
{
    Desk desk;
    desk.submit("a");
    REQUIRE(desk.cancel("a").kind == batch::AnswerKind::Cancelled);
    REQUIRE(desk.cancel("a").kind == batch::AnswerKind::Cancelled);
    REQUIRE(desk.status("a").status == batch::JobStatus::Cancelled);
    REQUIRE(desk.cancel("b").kind == batch::AnswerKind::NoSuchJob);
}

TEST_CASE("A submission that can't be run as described says why")
{
    batch::Submission submission;
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
    submission.steps.resize(2);
    REQUIRE(batch::findSubmissionError(submission).empty());
    submission.steps[0].after = {1};
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
    submission.steps[0].after.clear();
    submission.steps[1].tasks = 0;
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
}
