#include <catch2/catch.hpp>

#include <set>
#include <string>

#include "membership/member_table.h"

using namespace plantainfork;

TEST_CASE("Changes beyond the limit of one message are sent in the following ones")
{
    constexpr std::size_t MemberCount = 25;
    constexpr std::size_t Limit = 10;
    membership::MemberTable table;
    for (std::size_t i = 0; i < MemberCount; ++i) {
        wire::MemberRecord record;
        record.id = base::MemberId("agent-" + std::to_string(i));
        record.incarnation = base::Incarnation(1);
        table.apply(record, record.id, membership::Origin::Subtree);
    }
    std::set<base::MemberId> received;
    std::uint64_t position = 0;
    for (int message = 0; message < 3; ++message) {
        const auto changes = table.changesAfter(position, Limit);
        REQUIRE(changes.records.size() <= Limit);
        for (const auto &record : changes.records) {
            received.insert(record.id);
        }
        position = changes.upTo;
    }
    REQUIRE(received.size() == MemberCount);
    REQUIRE(table.changesAfter(position, Limit).records.empty());
}
