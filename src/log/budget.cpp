#include "log/budget.h"

#include <algorithm>

namespace plantainfork::log
{

Budget::Budget(BudgetBounds bounds)
    : m_bounds(bounds)
{
}

void Budget::refill(Kind &kind, runtime::Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - kind.asOf).count();
    kind.lines = std::min(m_bounds.burst, kind.lines + std::max(seconds, 0.0) * m_bounds.linesPerSecond);
    kind.asOf = now;
}

bool Budget::take(std::string_view kind, runtime::Instant now)
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        found = m_kinds.emplace(std::string(kind), Kind{m_bounds.burst, now, 0}).first;
    }
    refill(found->second, now);
    if (found->second.lines < 1) {
        ++found->second.leftOut;
        ++m_leftOut;
        return false;
    }
    found->second.lines -= 1;
    return true;
}

std::vector<Budget::LeftOut> Budget::takeLeftOut(runtime::Instant now)
{
    std::vector<LeftOut> all;
    if (m_leftOut == 0) {
        return all;
    }
    for (auto &[name, kind] : m_kinds) {
        refill(kind, now);
        if (kind.leftOut > 0 && kind.lines >= 1) {
            all.push_back({name, kind.leftOut});
            m_leftOut -= kind.leftOut;
            kind.leftOut = 0;
        }
    }
    return all;
}

} // namespace plantainfork::log
