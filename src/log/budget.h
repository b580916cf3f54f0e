/**
 * How many lines of each kind may be written. Pure: times come from the caller.
 *
 * Each kind has a budget of its own, so that a flood of one, such as ends of runs, never costs a line of another, such as a lost office.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/clock.h"

namespace plantainfork::log
{

struct BudgetBounds {
    /** Lines of one kind. A recorded day of 59 hosts had at most 115 in one second, which the burst takes; a line's cost was not measured. */
    double linesPerSecond = 100;
    /** Lines of one kind at once: a scheduler that takes office tells of each job once. */
    double burst = 500;
};

class Budget
{
public:
    struct LeftOut {
        std::string kind;
        std::uint64_t count = 0;
    };

    explicit Budget(BudgetBounds bounds = {});

    /** Whether a line of the kind may be written now; otherwise it is counted as left out. */
    [[nodiscard]] bool take(std::string_view kind, runtime::Instant now);
    /** Kinds with lines left out that could be written again by now; forgets them. */
    [[nodiscard]] std::vector<LeftOut> takeLeftOut(runtime::Instant now);

private:
    struct Kind {
        double lines = 0;
        runtime::Instant asOf;
        std::uint64_t leftOut = 0;
    };

    void refill(Kind &kind, runtime::Instant now) const;

    BudgetBounds m_bounds;
    /** Kinds are fixed phrases of the code, so there are few. */
    std::map<std::string, Kind, std::less<>> m_kinds;
    std::uint64_t m_leftOut = 0;
};

} // namespace plantainfork::log
