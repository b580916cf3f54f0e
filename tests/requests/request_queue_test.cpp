#include <catch2/catch.hpp>

#include "requests/request_queue.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using requests::RequestQueue;
using wire::Urgency;

namespace
{

std::shared_ptr<RequestQueue::Waiter> waiter(const std::string &workspace, Urgency urgency, std::uint32_t share, std::chrono::milliseconds deadline = 1000ms)
{
    auto result = std::make_shared<RequestQueue::Waiter>();
    result->demand.workspace = base::WorkspaceId(workspace);
    result->demand.urgency = urgency;
    result->demand.share = share;
    result->demand.deadline = runtime::Instant(deadline);
    return result;
}

RequestQueue::WaiterPtr serve(RequestQueue &queue, double slots = 10)
{
    auto next = queue.next(slots, [](const RequestQueue::Waiter &) {
        return true;
    });
    if (next) {
        queue.remove(next);
        queue.countStart(next->demand.workspace, next->demand.urgency, next->demand.share);
    }
    return next;
}

} // namespace

TEST_CASE("Urgency comes before deadline, and deadline before arrival")
{
    RequestQueue queue({});
    queue.add(waiter("a", Urgency::Patient, 0, 10ms));
    queue.add(waiter("a", Urgency::Normal, 0, 900ms));
    queue.add(waiter("a", Urgency::Normal, 0, 100ms));
    queue.add(waiter("a", Urgency::Urgent, 0, 5000ms));
    REQUIRE(serve(queue)->demand.urgency == Urgency::Urgent);
    REQUIRE(serve(queue)->demand.deadline == runtime::Instant(100ms));
    REQUIRE(serve(queue)->demand.deadline == runtime::Instant(900ms));
    REQUIRE(serve(queue)->demand.urgency == Urgency::Patient);
    REQUIRE(serve(queue) == nullptr);
}

TEST_CASE("A workspace below its guarantee is served before another's burst beyond its guarantee")
{
    RequestQueue queue({});
    for (int i = 0; i < 20; ++i) {
        queue.add(waiter("burst", Urgency::Normal, 100));
    }
    for (int i = 0; i < 20; ++i) {
        queue.add(waiter("steady", Urgency::Normal, 800, 2000ms));
    }
    int steady = 0;
    for (int i = 0; i < 10; ++i) {
        steady += serve(queue)->demand.workspace == base::WorkspaceId("steady") ? 1 : 0;
    }
    REQUIRE(steady >= 8);
}

TEST_CASE("Workspaces without guarantees share the slots evenly, whatever the length of their queues")
{
    RequestQueue queue({});
    for (int i = 0; i < 50; ++i) {
        queue.add(waiter("many", Urgency::Normal, 0));
    }
    for (int i = 0; i < 5; ++i) {
        queue.add(waiter("few", Urgency::Normal, 0, 2000ms));
    }
    int few = 0;
    for (int i = 0; i < 10; ++i) {
        few += serve(queue)->demand.workspace == base::WorkspaceId("few") ? 1 : 0;
    }
    REQUIRE(few == 5);
}

TEST_CASE("Urgent requests borrow only a few slots from the guarantees of other workspaces")
{
    constexpr double Slots = 100;
    RequestQueue queue({});
    for (int i = 0; i < 100; ++i) {
        queue.add(waiter("urgent", Urgency::Urgent, 0));
        queue.add(waiter("owner", Urgency::Normal, 1000, 2000ms));
    }
    int borrowed = 0;
    for (int i = 0; i < 100; ++i) {
        borrowed += serve(queue, Slots)->demand.urgency == Urgency::Urgent ? 1 : 0;
    }
    REQUIRE(borrowed > 0);
    REQUIRE(borrowed <= 10);
}

TEST_CASE("The queue is bounded, and a more urgent request evicts a less urgent one")
{
    RequestQueue queue({2, 2});
    REQUIRE(queue.add(waiter("a", Urgency::Normal, 0)));
    REQUIRE(queue.add(waiter("b", Urgency::Patient, 0)));
    REQUIRE_FALSE(queue.add(waiter("c", Urgency::Urgent, 0)));
    REQUIRE(queue.evictFor(base::WorkspaceId("c"), Urgency::Urgent)->demand.urgency == Urgency::Patient);
    REQUIRE(queue.add(waiter("c", Urgency::Urgent, 0)));
    REQUIRE(queue.evictFor(base::WorkspaceId("c"), Urgency::Normal) == nullptr);
}

TEST_CASE("A workspace at its bound evicts from its own requests")
{
    RequestQueue queue({100, 1});
    REQUIRE(queue.add(waiter("a", Urgency::Patient, 0)));
    REQUIRE(queue.add(waiter("b", Urgency::Patient, 0)));
    REQUIRE_FALSE(queue.add(waiter("b", Urgency::Urgent, 0)));
    REQUIRE(queue.evictFor(base::WorkspaceId("b"), Urgency::Urgent)->demand.workspace == base::WorkspaceId("b"));
    REQUIRE(queue.add(waiter("b", Urgency::Urgent, 0)));
}

TEST_CASE("Requests past their deadline are removed")
{
    RequestQueue queue({});
    queue.add(waiter("a", Urgency::Normal, 0, 10ms));
    queue.add(waiter("a", Urgency::Normal, 0, 20ms));
    REQUIRE(queue.takeExpired(runtime::Instant(10ms)).size() == 1);
    REQUIRE(queue.size() == 1);
}
