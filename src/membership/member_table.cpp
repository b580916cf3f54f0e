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
    const auto [iterator, isNew] = m_entries.try_emplace(record.id);
    Entry &entry = iterator->second;
    if (!isNew && recordOrder(record) < recordOrder(entry.record)) {
        return false;
    }
    const bool isSame = !isNew && recordOrder(record) == recordOrder(entry.record);
    if (isSame && entry.origin == Origin::Subtree && origin == Origin::Peer) {
        // Another entry echoed the record because it doesn't yet know that the member moved into this subtree.
        return false;
    }
    const bool isMove = entry.via != via || entry.origin != origin;
    entry.via = via;
    entry.origin = origin;
    entry.isReachable = true;
    entry.isOrphan = false;
    if (isSame && !isMove) {
        return false;
    }
    entry.record = record;
    entry.since = runtime::Clock::now();
    logChange(record.id, entry);
    return true;
}

void MemberTable::markOrphaned(const base::MemberId &via, runtime::Instant since)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.via == via && entry.origin == Origin::Subtree && !entry.isOrphan && entry.record.state != wire::MemberState::Left) {
            entry.isOrphan = true;
            entry.since = since;
        }
    }
}

void MemberTable::setReachable(const base::MemberId &via, bool isReachable)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.via == via && entry.origin == Origin::Peer && entry.isReachable != isReachable) {
            entry.isReachable = isReachable;
            entry.since = runtime::Clock::now();
            logChange(id, entry);
        }
    }
}

void MemberTable::sweep(runtime::Instant now, runtime::Clock::duration timeout, runtime::Clock::duration retention)
{
    for (auto iterator = m_entries.begin(); iterator != m_entries.end();) {
        Entry &entry = iterator->second;
        if (entry.isOrphan && now - entry.since >= timeout) {
            entry.isOrphan = false;
            entry.record.state = wire::MemberState::Left;
            entry.since = now;
            logChange(iterator->first, entry);
        }
        const bool isGone = entry.record.state == wire::MemberState::Left || !entry.isReachable;
        if (isGone && now - entry.since >= retention) {
            m_log.erase(entry.position);
            iterator = m_entries.erase(iterator);
        } else {
            ++iterator;
        }
    }
}

void MemberTable::logChange(const base::MemberId &id, Entry &entry)
{
    m_log.erase(entry.position);
    entry.position = ++m_position;
    m_log.emplace(entry.position, id);
    if (entry.origin == Origin::Subtree) {
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
        const Entry &entry = m_entries.at(logged->second);
        if (entry.origin == Origin::Subtree) {
            changes.records.push_back(entry.record);
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
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.state == wire::MemberState::Left || !entry.isReachable) {
            continue;
        }
        view.members.emplace_hint(view.members.end(), id, entry.record);
        if (acceptsWork(entry.record) && entry.record.offer.kind == wire::TargetKind::Executor) {
            view.executors[entry.record.offer.service].push_back(entry.record);
        } else if (acceptsWork(entry.record) && entry.record.offer.kind == wire::TargetKind::Worker) {
            view.workers.push_back(entry.record);
        }
    }
    return view;
}

std::size_t MemberTable::size() const
{
    return m_entries.size();
}

} // namespace plantainfork::membership
