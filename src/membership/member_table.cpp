#include "membership/member_table.h"

#include <tuple>

namespace plantainfork::membership
{

namespace
{

auto recordOrder(const wire::MemberRecord &record)
{
    return std::tuple(record.incarnation, record.sequence, record.state == wire::MemberState::Left);
}

bool acceptsWork(const wire::MemberRecord &record)
{
    return record.role == wire::MemberRole::Agent && record.state == wire::MemberState::Alive;
}

} // namespace

bool MemberTable::apply(const wire::MemberRecord &record, const base::MemberId &via, Origin origin)
{
    const auto [iterator, isNew] = m_members.try_emplace(record.id);
    StoredMember &stored = iterator->second;
    if (!isNew && recordOrder(record) < recordOrder(stored.record)) {
        return false;
    }
    const bool isSameVersion = !isNew && recordOrder(record) == recordOrder(stored.record);
    if (isSameVersion && stored.origin == Origin::Subtree && origin == Origin::Peer) {
        // Another entry sent the record back because it doesn't know yet that the member moved into this subtree.
        return false;
    }
    const bool hasMoved = stored.via != via || stored.origin != origin;
    stored.via = via;
    stored.origin = origin;
    stored.isReachable = true;
    stored.isOrphan = false;
    if (isSameVersion && !hasMoved) {
        return false;
    }
    stored.record = record;
    stored.since = runtime::Clock::now();
    logChange(record.id, stored);
    return true;
}

void MemberTable::markOrphaned(const base::MemberId &via, runtime::Instant since)
{
    for (auto &[id, stored] : m_members) {
        if (stored.via == via && stored.origin == Origin::Subtree && !stored.isOrphan && stored.record.state != wire::MemberState::Left) {
            stored.isOrphan = true;
            stored.since = since;
        }
    }
}

void MemberTable::setReachable(const base::MemberId &via, bool isReachable)
{
    for (auto &[id, stored] : m_members) {
        if (stored.via == via && stored.origin == Origin::Peer && stored.isReachable != isReachable) {
            stored.isReachable = isReachable;
            stored.since = runtime::Clock::now();
            logChange(id, stored);
        }
    }
}

void MemberTable::expire(runtime::Instant now, runtime::Clock::duration timeout, runtime::Clock::duration retention)
{
    for (auto iterator = m_members.begin(); iterator != m_members.end();) {
        StoredMember &stored = iterator->second;
        if (stored.isOrphan && now - stored.since >= timeout) {
            stored.isOrphan = false;
            stored.record.state = wire::MemberState::Left;
            stored.since = now;
            logChange(iterator->first, stored);
        }
        const bool isLeftOrUnreachable = stored.record.state == wire::MemberState::Left || !stored.isReachable;
        if (isLeftOrUnreachable && now - stored.since >= retention) {
            m_log.erase(stored.position);
            iterator = m_members.erase(iterator);
        } else {
            ++iterator;
        }
    }
}

void MemberTable::logChange(const base::MemberId &id, StoredMember &stored)
{
    m_log.erase(stored.position);
    stored.position = ++m_position;
    m_log.emplace(stored.position, id);
    if (stored.origin == Origin::Subtree) {
        m_subtreePosition = m_position;
    }
}

MemberChanges MemberTable::changesAfter(std::uint64_t position, std::size_t limit) const
{
    MemberChanges changes;
    changes.upTo = position;
    for (auto logged = m_log.upper_bound(position); logged != m_log.end(); ++logged) {
        if (changes.records.size() >= limit) {
            return changes;
        }
        changes.upTo = logged->first;
        const StoredMember &stored = m_members.at(logged->second);
        if (stored.origin == Origin::Subtree) {
            changes.records.push_back(stored.record);
        }
    }
    return changes;
}

std::uint64_t MemberTable::position() const
{
    return m_position;
}

std::uint64_t MemberTable::subtreePosition() const
{
    return m_subtreePosition;
}

MemberView MemberTable::view() const
{
    MemberView view;
    for (const auto &[id, stored] : m_members) {
        if (stored.record.state == wire::MemberState::Left || !stored.isReachable) {
            continue;
        }
        view.members.emplace_hint(view.members.end(), id, stored.record);
        if (acceptsWork(stored.record) && stored.record.offer.kind == wire::TargetKind::Executor) {
            view.executors[stored.record.offer.service].push_back(stored.record);
        } else if (acceptsWork(stored.record) && stored.record.offer.kind == wire::TargetKind::Worker) {
            view.workers.push_back(stored.record);
        }
    }
    return view;
}

std::size_t MemberTable::size() const
{
    return m_members.size();
}

} // namespace plantainfork::membership
