/**
 * Stores the newest record of each member, ordered by (incarnation, sequence), with the neighbour that it was
 * received through, and a log of changes from which neighbours are sent only what is new to them. Not
 * thread-safe: must be used from one strand.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "membership/member_view.h"
#include "runtime/clock.h"
#include "wire/member_messages.h"

namespace plantainfork::membership
{

/** Where a record was received from. */
enum class Origin {
    /** This process or its subtree. Forwarded to the parent and to other entries. */
    Subtree,
    /** Another entry. Stored here and not forwarded. */
    Peer,
};

/** A section of the change log. */
struct MemberChanges {
    std::vector<wire::MemberRecord> records;
    /** Position up to which the log has been read. */
    std::uint64_t upTo = 0;
};

class MemberTable
{
public:
    /**
     * Applies a record received through a neighbour. The higher (incarnation, sequence) wins; on a tie Left wins.
     * Returns whether the record, its neighbour or its origin changed.
     */
    bool apply(const wire::MemberRecord &record, const base::MemberId &via, Origin origin);

    /**
     * Marks the records received through a neighbour as orphaned. expire() sets them to Left once its timeout
     * has passed since `since`, unless they are received again.
     */
    void markOrphaned(const base::MemberId &via, runtime::Instant since);

    /** Sets whether another entry is reachable. While it isn't, the view omits the records received through it; their state is kept. */
    void setReachable(const base::MemberId &via, bool isReachable);

    /** Sets orphans to Left after `timeout`, and removes records that have been Left or unreachable for `retention`. */
    void expire(runtime::Instant now, runtime::Clock::duration timeout, runtime::Clock::duration retention);

    /** Returns at most `limit` subtree records that changed after `position`, oldest change first. */
    [[nodiscard]] MemberChanges changesAfter(std::uint64_t position, std::size_t limit) const;

    /** Position of the newest change, including changes of peers' records. */
    [[nodiscard]] std::uint64_t position() const;
    /** Position of the newest change in the subtree. */
    [[nodiscard]] std::uint64_t subtreePosition() const;
    /** Returns a snapshot of the reachable members that haven't left. */
    [[nodiscard]] MemberView view() const;
    [[nodiscard]] std::size_t size() const;

    /**
     * Calls function(record, via, isReporting) for each member that hasn't left. isReporting tells whether the record
     * is reachable and not orphaned.
     */
    template<typename Function>
    void visit(Function function) const
    {
        for (const auto &[id, stored] : m_members) {
            if (stored.record.state != wire::MemberState::Left) {
                function(stored.record, stored.via, stored.isReachable && !stored.isOrphan);
            }
        }
    }

private:
    struct StoredMember {
        wire::MemberRecord record;
        base::MemberId via;
        Origin origin = Origin::Subtree;
        /** Position of its newest change in the log. */
        std::uint64_t position = 0;
        bool isReachable = true;
        bool isOrphan = false;
        /** When the record was last updated, orphaned, set to Left, or became reachable or unreachable. */
        runtime::Instant since;
    };

    void logChange(const base::MemberId &id, StoredMember &stored);

    std::map<base::MemberId, StoredMember> m_members;
    /** Member by position of its newest change. Each member has exactly one position. */
    std::map<std::uint64_t, base::MemberId> m_log;
    std::uint64_t m_position = 0;
    std::uint64_t m_subtreePosition = 0;
};

} // namespace plantainfork::membership
