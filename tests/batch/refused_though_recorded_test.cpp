/**
 * Callers were told that their jobs never run (503, 401 or 404), and the jobs ran: an entry's write had been carried out without an answer.
 * Then the same write through a peer met the job as a conflict, and neither could be read; or the policy no longer allowed the request.
 */
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "batch/job_request_handler.h"
#include "batch/recent_submissions.h"
#include "batch/relayed_store.h"
#include "rpc/server.h"
#include "support/memory_store.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

using RelayedStore = batch::RelayedStore<tests::MemoryStore>;

/** An entry with its own way to the store and one through a peer, both to be cut by the test. */
struct Entry {
    explicit Entry(std::shared_ptr<tests::MemoryData> data)
        : direct(data)
        , peer(data)
        , server(std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {})))
        , channels(context.get_executor(), {})
        , relayed(direct,
                  channels,
                  [this] {
                      return std::vector<wire::Address>{{"127.0.0.1", server->port()}};
                  })
        , policy(context.get_executor(), ConfirmationLifetime)
        , handler(relayed, policy, metrics, [](runtime::Instant) -> boost::asio::awaitable<batch::PendingResult> {
            co_return batch::PendingResult{std::nullopt, "", "not asked"};
        })
    {
        rpc::handleCall<batch::RelayCall>(*server, [this](batch::RelayCall call) {
            return serve(std::move(call));
        });
        server->start();
    }

    boost::asio::awaitable<absl::StatusOr<batch::RelayReply>> serve(batch::RelayCall call)
    {
        if (const auto action = std::exchange(onPeerAsked, nullptr)) {
            action();
        }
        auto reply = co_await batch::serveRelay(peer, std::move(call));
        ++callsServed;
        if (callsServed == peerCalls) {
            peer.setDown(true);
        }
        co_return reply;
    }

    /** Puts a policy with one queue in force, for callers with the key, or for all if it is empty; `guard` is its condition in the store. */
    void setPolicy(store::Write guard, const std::string &key = "", const std::string &prefix = "/q/")
    {
        auto next = std::make_shared<batch::Policy>();
        next->version = 1;
        batch::Queue queue;
        queue.id = batch::QueueId("q");
        queue.host = "h.example";
        queue.prefix = prefix;
        queue.isPublic = key.empty();
        next->keys[key] = base::WorkspaceId("atlas");
        next->queues[queue.id] = queue;
        policy.set(next, std::move(guard));
        policy.confirm(runtime::Clock::now());
    }

    /** From now on neither way leads to the store. */
    void cutOff()
    {
        direct.setDown(true);
        peer.setDown(true);
    }

    batch::Answer submit(const std::string &id, std::chrono::milliseconds patience = 900ms, const std::string &key = "")
    {
        batch::Submission submission;
        submission.payload = "text";
        submission.steps.emplace_back();
        return tests::runOn(context, handler.submit({"h.example", "/q/" + id, key, runtime::Clock::now() + patience, "r1"}, base::JobId(id), submission));
    }

    batch::Answer cancel(const std::string &id, std::chrono::milliseconds patience, const std::string &key = "")
    {
        return tests::runOn(context, handler.cancel({"h.example", "/q/" + id, key, runtime::Clock::now() + patience, "r1"}, base::JobId(id)));
    }

    static constexpr std::chrono::milliseconds ConfirmationLifetime{4300};

    boost::asio::io_context context{1};
    tests::MemoryStore direct;
    tests::MemoryStore peer;
    std::unique_ptr<rpc::Server> server;
    rpc::ChannelPool channels;
    RelayedStore relayed;
    metrics::Registry metrics;
    batch::PolicyHolder policy;
    batch::JobRequestHandler<RelayedStore> handler;
    /** After this many calls the peer is cut off from the store. */
    int peerCalls = 0;
    int callsServed = 0;
    /** Called once, when the peer is asked first. */
    std::function<void()> onPeerAsked;
};

/** Writes a policy to the store and returns the condition that it is still in force. */
store::Write storePolicy(tests::MemoryData &data, store::Index earlier = {})
{
    store::Write write;
    write.key = "policy";
    write.value = "1";
    write.expected = earlier;
    store::Write guard;
    guard.kind = store::Write::Kind::Check;
    guard.key = write.key;
    guard.expected = data.transact({write}).written.front().modified;
    return guard;
}

bool isRecorded(tests::MemoryData &data, const std::string &id)
{
    return !data.read(batch::keys::jobPrefix(base::JobId(id)), true).entries.empty();
}

void advanceClock(std::chrono::milliseconds step)
{
    runtime::Clock::pause();
    runtime::Clock::advance(step);
    runtime::Clock::resume();
}

struct Site {
    Site()
        : entry(data)
        , other(data)
    {
        const store::Write guard = storePolicy(*data);
        entry.setPolicy(guard);
        other.setPolicy(guard);
    }

    std::shared_ptr<tests::MemoryData> data = std::make_shared<tests::MemoryData>();
    Entry entry;
    Entry other;
};

} // namespace

TEST_CASE("A job that its entry recorded without an answer, and met as a conflict through a peer, is never refused")
{
    Site site;
    site.entry.direct.loseAnswers(1);
    site.entry.peerCalls = 1;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Unclear);
    REQUIRE(isRecorded(*site.data, "a"));
}

TEST_CASE("A job that its entry recorded without an answer is accepted once the store can be read again")
{
    Site site;
    site.entry.direct.loseAnswers(1);
    site.entry.peerCalls = 1;
    REQUIRE(site.entry.submit("a", 3s).kind == batch::AnswerKind::Accepted);
}

TEST_CASE("A repeat that meets the job as a conflict at another entry, and can't read it, is not refused")
{
    Site site;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Accepted);
    site.other.direct.setDown(true);
    site.other.peerCalls = 1;
    REQUIRE(site.other.submit("a").kind == batch::AnswerKind::Unclear);
}

TEST_CASE("A repeat of a job that the same entry may have recorded is not refused while the store can't be reached")
{
    Site site;
    site.entry.direct.loseAnswers(1);
    site.entry.peerCalls = 1;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Unclear);
    site.entry.cutOff();
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Unclear);
    // Too little time for a write.
    REQUIRE(site.entry.submit("a", 100ms).kind == batch::AnswerKind::Unclear);

    advanceClock(5s);
    REQUIRE_FALSE(site.entry.policy.isCurrent(runtime::Clock::now()));
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Unclear);
    REQUIRE(site.entry.submit("b").kind == batch::AnswerKind::Refused);
}

TEST_CASE("A repeat of a job that may be recorded doesn't use up the caller's tries while the policy isn't confirmed")
{
    // Callers heard 504 within milliseconds, and had used up their repeats when the store was back.
    Site site;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Accepted);
    advanceClock(Entry::ConfirmationLifetime + 1s);
    SECTION("and is accepted as soon as it is")
    {
        boost::asio::steady_timer timer(site.entry.context, 400ms);
        timer.async_wait([&](boost::system::error_code) {
            site.entry.policy.confirm(runtime::Clock::now());
        });
        REQUIRE(site.entry.submit("a", 3s).kind == batch::AnswerKind::Accepted);
    }
    SECTION("and may be made elsewhere after a second")
    {
        const auto begin = runtime::Clock::now();
        REQUIRE(site.entry.submit("a", 3s).kind == batch::AnswerKind::Unclear);
        REQUIRE(runtime::Clock::now() - begin >= 1s);
        REQUIRE(runtime::Clock::now() - begin < 1500ms);
    }
}

TEST_CASE("A repeat of an accepted job is not refused while the store can't be reached")
{
    Site site;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Accepted);
    site.entry.cutOff();
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Unclear);
}

TEST_CASE("A cancellation that its entry recorded without an answer is not refused when the policy is no longer confirmed")
{
    Site site;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Accepted);
    site.entry.direct.loseAnswers(1);
    site.entry.peerCalls = 1;
    advanceClock(Entry::ConfirmationLifetime - 300ms);
    REQUIRE(site.entry.cancel("a", 2s).kind == batch::AnswerKind::Unclear);
    REQUIRE_FALSE(site.data->read(batch::keys::job(base::JobId("a"), batch::keys::JobPart::Cancel), false).entries.empty());
}

// Guards against a job that runs although its only submission was rejected: the write had no answer, and then the policy changed.
TEST_CASE("A submission that may have recorded its job isn't rejected because its key or queue has been removed meanwhile")
{
    Site site;
    Entry &entry = site.entry;
    const store::Write first = storePolicy(*site.data, entry.policy.guard().expected);
    entry.setPolicy(first, "key");
    const bool isKeyRemoved = GENERATE(true, false);
    const auto changePolicy = [&] {
        entry.setPolicy(storePolicy(*site.data, first.expected), isKeyRemoved ? "other" : "key", isKeyRemoved ? "/q/" : "/other/");
    };
    const auto isRejection = [](batch::AnswerKind kind) {
        return kind == batch::AnswerKind::UnknownKey || kind == batch::AnswerKind::NoSuchQueue;
    };

    entry.direct.loseAnswers(1);
    entry.peer.setDown(true);
    SECTION("and is accepted if the store shows the job")
    {
        entry.onPeerAsked = changePolicy;
        REQUIRE(entry.submit("a", 3s, "key").kind == batch::AnswerKind::Accepted);
        REQUIRE(isRecorded(*site.data, "a"));
        // A repeat recorded nothing itself, and isn't told that there is no such job.
        REQUIRE(entry.submit("a", 900ms, "key").kind == batch::AnswerKind::Unclear);
        // Other jobs are rejected at once.
        REQUIRE(isRejection(entry.submit("b", 900ms, "key").kind));
    }
    SECTION("and is unclear if the store can't be read")
    {
        entry.onPeerAsked = [&] {
            changePolicy();
            entry.cutOff();
        };
        REQUIRE(entry.submit("a", 1500ms, "key").kind == batch::AnswerKind::Unclear);
        REQUIRE(isRecorded(*site.data, "a"));
    }
}

TEST_CASE("A submission whose write can't be carried out any more is rejected once the store has shown that")
{
    Site site;
    Entry &entry = site.entry;
    const store::Write first = storePolicy(*site.data, entry.policy.guard().expected);
    entry.setPolicy(first, "key");
    // The operator has changed the policy already, so the write meets a conflict; its answer is lost.
    const store::Write second = storePolicy(*site.data, first.expected);
    entry.direct.loseAnswers(1);
    entry.peer.setDown(true);
    entry.onPeerAsked = [&] {
        entry.setPolicy(second, "other");
    };
    REQUIRE(entry.submit("a", 3s, "key").kind == batch::AnswerKind::UnknownKey);
    REQUIRE_FALSE(isRecorded(*site.data, "a"));
}

// Guards against a cancellation that is carried out although its caller was told that the key isn't known.
TEST_CASE("A cancellation that may be recorded isn't rejected because its key has been removed meanwhile")
{
    Site site;
    Entry &entry = site.entry;
    const store::Write first = storePolicy(*site.data, entry.policy.guard().expected);
    entry.setPolicy(first, "key");
    REQUIRE(entry.submit("a", 900ms, "key").kind == batch::AnswerKind::Accepted);
    entry.direct.loseAnswers(1);
    entry.peer.setDown(true);
    entry.onPeerAsked = [&] {
        entry.setPolicy(storePolicy(*site.data, first.expected), "other");
    };
    REQUIRE(entry.cancel("a", 2s, "key").kind == batch::AnswerKind::Unclear);
    REQUIRE_FALSE(site.data->read(batch::keys::job(base::JobId("a"), batch::keys::JobPart::Cancel), false).entries.empty());
}

TEST_CASE("A job that certainly isn't recorded is refused at once while others may be")
{
    Site site;
    site.entry.direct.loseAnswers(1);
    site.entry.peerCalls = 1;
    REQUIRE(site.entry.submit("a").kind == batch::AnswerKind::Unclear);
    site.entry.cutOff();
    const auto begin = runtime::Clock::now();
    REQUIRE(site.entry.submit("b").kind == batch::AnswerKind::Refused);
    REQUIRE(runtime::Clock::now() - begin < 300ms);
    REQUIRE_FALSE(isRecorded(*site.data, "b"));
}

TEST_CASE("A job is remembered as perhaps recorded from the first write until it is ruled out or its time is over")
{
    batch::RecentSubmissions recent(30s);
    const base::JobId job("a");
    const auto now = runtime::Clock::now();
    REQUIRE_FALSE(recent.mayBeRecorded(job, now));

    recent.begin(job);
    REQUIRE(recent.mayBeRecorded(job, now));
    recent.endUnsent(job);
    REQUIRE_FALSE(recent.mayBeRecorded(job, now));

    recent.begin(job);
    recent.begin(job);
    recent.end(job, store::Index(7), now);
    recent.endUnsent(job);
    REQUIRE(recent.mayBeRecorded(job, now));
    // A write that required a newer policy may still be carried out.
    recent.ruleOut(job, store::Index(6));
    REQUIRE(recent.mayBeRecorded(job, now));
    recent.ruleOut(job, store::Index(7));
    REQUIRE_FALSE(recent.mayBeRecorded(job, now));
    REQUIRE(recent.size() == 0);

    recent.begin(job);
    recent.end(job, store::Index(7), now);
    REQUIRE(recent.mayBeRecorded(job, now + 29s));
    REQUIRE_FALSE(recent.mayBeRecorded(job, now + 30s));
    const base::JobId next("b");
    recent.begin(next);
    recent.end(next, store::Index(7), now + 31s);
    REQUIRE(recent.size() == 1);
}
