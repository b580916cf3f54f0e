/** Answers to callers while the store loses answers, is unreachable, or holds another policy than this entry. */
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "batch/job_request_handler.h"
#include "support/captured_log.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** A JobRequestHandler on an in-memory store that holds a policy with one queue. */
struct Fixture {
    Fixture()
        : store(data)
        , policy(context.get_executor(), 4s)
        , handler(store, policy, metrics, [](runtime::Instant) -> boost::asio::awaitable<batch::PendingResult> {
            co_return batch::PendingResult{std::nullopt, "127.0.0.1:1", "not in office"};
        })
    {
        storePolicy(1);
    }

    /** Writes the policy to the store and passes it to this entry. */
    void storePolicy(std::uint64_t version)
    {
        store::Write write;
        write.key = "policy";
        write.value = std::to_string(version);
        write.expected = guard.expected;
        guard.expected = data->transact({write}).written.front().modified;
        guard.kind = store::Write::Kind::Check;
        guard.key = "policy";
        setKnownPolicy(version);
    }

    /** Passes the policy to this entry only. */
    void setKnownPolicy(std::uint64_t version)
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
        return tests::runOn(context, handler.submit(caller(key), base::JobId(id), submission));
    }
    batch::Answer status(const std::string &id)
    {
        return tests::runOn(context, handler.status(caller("key"), base::JobId(id)));
    }
    batch::Answer cancel(const std::string &id)
    {
        return tests::runOn(context, handler.cancel(caller("key"), base::JobId(id)));
    }
    batch::Answer askPending(const std::string &key = "key")
    {
        return tests::runOn(context, handler.pending(caller(key)));
    }
    static batch::Caller caller(const std::string &key)
    {
        return {"h.example", "/q/0123456789abcdef", key, runtime::Clock::now() + 600ms, "r1"};
    }

    boost::asio::io_context context;
    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    tests::MemoryStore store;
    store::Write guard;
    metrics::Registry metrics;
    batch::PolicyHolder policy;
    batch::JobRequestHandler<tests::MemoryStore> handler;
};

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("A job is accepted once, and a repeat under its id is the same job")
{
    Fixture fixture;
    REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Accepted);
    REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Accepted);
    REQUIRE(fixture.data->read(std::string(batch::keys::Jobs), true).entries.size() == 1);
    REQUIRE(fixture.status("a").status == batch::JobStatus::Queued);
    REQUIRE(fixture.status("b").kind == batch::AnswerKind::NoSuchJob);
}

TEST_CASE("A write whose answer is lost is repeated and never reported as refused")
{
    Fixture fixture;
    fixture.store.loseAnswers(1);
    REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Accepted);
    fixture.store.loseAnswers(1000);
    REQUIRE(fixture.submit("b").kind != batch::AnswerKind::Refused);
    fixture.store.loseAnswers(0);
    fixture.store.loseRequests(100'000);
    REQUIRE(fixture.submit("c").kind == batch::AnswerKind::Unclear);
}

TEST_CASE("A request is refused at once while the store can't be reached")
{
    Fixture fixture;
    fixture.store.setDown(true);
    const auto begin = runtime::Clock::now();
    REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Refused);
    REQUIRE(runtime::Clock::now() - begin < 300ms);
    REQUIRE(fixture.data->read(std::string(batch::keys::Jobs), true).entries.empty());
}

TEST_CASE("An entry with an outdated policy can't accept a job")
{
    Fixture fixture;
    const auto outdatedGuard = fixture.guard;
    fixture.storePolicy(2);
    auto outdated = std::make_shared<batch::Policy>(*fixture.policy.policy());
    outdated->version = 3;
    fixture.policy.set(outdated, outdatedGuard);
    REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Refused);
    REQUIRE(fixture.data->read(std::string(batch::keys::Jobs), true).entries.empty());
}

TEST_CASE("While the policy is not confirmed, every request is refused temporarily, also one with an unknown key")
{
    Fixture fixture;
    REQUIRE(fixture.submit("a", "unknown").kind == batch::AnswerKind::UnknownKey);
    runtime::Clock::pause();
    runtime::Clock::advance(5s);
    REQUIRE(fixture.submit("a", "unknown").kind == batch::AnswerKind::Refused);
    REQUIRE(fixture.status("a").kind == batch::AnswerKind::Refused);
    runtime::Clock::resume();
}

TEST_CASE("A cancelled job is reported as cancelled before the scheduler has processed the cancellation")
{
    Fixture fixture;
    fixture.submit("a");
    REQUIRE(fixture.cancel("a").kind == batch::AnswerKind::Cancelled);
    REQUIRE(fixture.cancel("a").kind == batch::AnswerKind::Cancelled);
    REQUIRE(fixture.status("a").status == batch::JobStatus::Cancelled);
    REQUIRE(fixture.cancel("b").kind == batch::AnswerKind::NoSuchJob);
}

TEST_CASE("An invalid submission is described by an error")
{
    batch::Submission submission;
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
    submission.steps.resize(2);
    REQUIRE(batch::findSubmissionError(submission).empty());
    submission.steps[0].dependsOn = {1};
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
    submission.steps[0].dependsOn.clear();
    submission.steps[1].tasks = 0;
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
}

TEST_CASE("A job whose occurrences reach beyond the clock is invalid")
{
    batch::Submission submission;
    submission.steps.emplace_back();
    submission.occurrences = 100;
    submission.period = std::chrono::hours(24 * 365);
    REQUIRE(batch::findSubmissionError(submission).empty());
    submission.occurrences = 101;
    REQUIRE_FALSE(batch::findSubmissionError(submission).empty());
}

TEST_CASE("A refused request for waiting jobs leaves a line that names it and the leader that was asked")
{
    Fixture fixture;
    const tests::CapturedLog captured;
    REQUIRE(fixture.askPending().kind == batch::AnswerKind::Refused);
    INFO(captured.text());
    CHECK(has(captured.text(), "event=\"count refused\" request=r1 path=/q/0123456789abcdef leader=127.0.0.1:1 reason=\"not in office\" took_ms="));
    CHECK(has(captured.text(), "stopping=false"));
}

TEST_CASE("A request for waiting jobs that a stop refuses is told from others")
{
    Fixture fixture;
    fixture.handler.answerBy(runtime::Clock::now());
    const tests::CapturedLog captured;
    REQUIRE(fixture.askPending().kind == batch::AnswerKind::Refused);
    INFO(captured.text());
    CHECK(has(captured.text(), "event=\"count refused\" request=r1"));
    CHECK(has(captured.text(), "reason=\"too little time left\""));
    CHECK(has(captured.text(), "stopping=true"));
}

TEST_CASE("Each line about a caller's request names the request")
{
    Fixture fixture;
    const tests::CapturedLog captured;
    SECTION("accepted")
    {
        REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Accepted);
        CHECK(has(captured.text(), "event=\"job accepted\" request=r1 job=a"));
    }
    SECTION("cancelled")
    {
        REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Accepted);
        REQUIRE(fixture.cancel("a").kind == batch::AnswerKind::Cancelled);
        CHECK(has(captured.text(), "event=\"job cancelled\" request=r1 job=a"));
    }
    SECTION("refused, cancelled unclearly or not read, as the store can't be reached")
    {
        fixture.store.setDown(true);
        REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Refused);
        REQUIRE(fixture.cancel("a").kind == batch::AnswerKind::Unclear);
        REQUIRE(fixture.status("a").kind == batch::AnswerKind::Refused);
        CHECK(has(captured.text(), "event=\"job refused\" request=r1 job=a"));
        CHECK(has(captured.text(), "event=\"cancel unclear\" request=r1 job=a"));
        CHECK(has(captured.text(), "event=\"state not read\" request=r1 job=a"));
    }
    SECTION("unclear")
    {
        fixture.store.loseAnswers(100);
        REQUIRE(fixture.submit("a").kind == batch::AnswerKind::Unclear);
        CHECK(has(captured.text(), "event=\"job unclear\" request=r1 job=a"));
    }
    SECTION("still open when a stop ends")
    {
        const auto now = runtime::Clock::now();
        const batch::OpenCalls::Guard open(fixture.handler.openCalls(), {"pending", "r1", "/q/", now - 2s, now + 1s});
        fixture.handler.openCalls().log("call cut", now);
        CHECK(has(captured.text(), "event=\"call cut\" request=r1 call=pending path=/q/ age_ms=2000 left_ms=1000"));
    }
    SECTION("under an unknown key")
    {
        REQUIRE(fixture.askPending("other").kind == batch::AnswerKind::UnknownKey);
        CHECK(has(captured.text(), "event=\"key unknown\" request=r1"));
    }
    SECTION("without a confirmed policy")
    {
        runtime::Clock::pause();
        runtime::Clock::advance(5s);
        REQUIRE(fixture.askPending().kind == batch::AnswerKind::Refused);
        runtime::Clock::resume();
        CHECK(has(captured.text(), "event=\"request refused\" request=r1"));
    }
    INFO(captured.text());
}
