/**
 * The jobs that this entry may have recorded lately. A caller that got no answer, or an unclear one, sends its job again, often to the same
 * entry; while the store can't be reached, only this memory tells such a repeat from a first try.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "base/ids.h"
#include "runtime/clock.h"
#include "store/key_value.h"

namespace plantainfork::batch
{

class RecentSubmissions
{
public:
    /** `life`: how long a job is remembered after a write that may have recorded it; as long as a caller repeats its request. */
    explicit RecentSubmissions(std::chrono::milliseconds life)
        : m_life(life)
    {
    }

    /** Notes that a write of the job begins. */
    void begin(const base::JobId &job)
    {
        ++m_marks[job].underway;
    }
    /** Notes that a write has ended without having reached the store. */
    void endUnsent(const base::JobId &job)
    {
        const auto mark = m_marks.find(job);
        --mark->second.underway;
        forgetIfIdle(mark);
    }
    /** Notes that a write has ended, after which the job may be recorded; `guard` is the revision that the write required of the policy. */
    void end(const base::JobId &job, store::Index guard, runtime::Instant now)
    {
        forgetOld(now);
        Mark &mark = m_marks[job];
        --mark.underway;
        mark.guard = std::max(mark.guard, guard);
        mark.keptUntil = now + m_life;
        m_expiries.emplace_back(mark.keptUntil, job);
    }
    /** Notes that the job isn't recorded and that the policy's revision is no longer `guard`, so that no write that requires it can be carried out. */
    void ruleOut(const base::JobId &job, store::Index guard)
    {
        const auto mark = m_marks.find(job);
        if (mark != m_marks.end() && mark->second.guard <= guard) {
            mark->second.keptUntil = {};
            forgetIfIdle(mark);
        }
    }
    /** The same when the policy's revision is `present` or a later one. */
    void ruleOutBefore(const base::JobId &job, store::Index present)
    {
        const auto mark = m_marks.find(job);
        if (mark != m_marks.end() && mark->second.guard < present) {
            ruleOut(job, mark->second.guard);
        }
    }

    /** Whether a write of the job that has ended may have recorded it, or one is under way. */
    [[nodiscard]] bool mayBeRecorded(const base::JobId &job, runtime::Instant now) const
    {
        const auto mark = m_marks.find(job);
        return mark != m_marks.end() && (mark->second.underway > 0 || now < mark->second.keptUntil);
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_marks.size();
    }

private:
    struct Mark {
        int underway = 0;
        runtime::Instant keptUntil{};
        /** The newest policy revision that an ended write required. */
        store::Index guard;
    };
    using Marks = std::map<base::JobId, Mark>;

    void forgetIfIdle(Marks::iterator mark)
    {
        if (mark->second.underway == 0 && mark->second.keptUntil == runtime::Instant()) {
            m_marks.erase(mark);
        }
    }
    void forgetOld(runtime::Instant now)
    {
        for (; !m_expiries.empty() && m_expiries.front().first <= now; m_expiries.pop_front()) {
            const auto mark = m_marks.find(m_expiries.front().second);
            if (mark != m_marks.end() && mark->second.keptUntil <= now) {
                mark->second.keptUntil = {};
                forgetIfIdle(mark);
            }
        }
    }

    std::chrono::milliseconds m_life;
    Marks m_marks;
    /** When to look at a mark again, in order; a mark that was renewed has several. */
    std::deque<std::pair<runtime::Instant, base::JobId>> m_expiries;
};

} // namespace plantainfork::batch
