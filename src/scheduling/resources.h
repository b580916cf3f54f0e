/** Amounts of resources that a worker has or a member of a gang needs. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "wire/resources.h"

namespace plantainfork::scheduling
{

/** Signed, since differences are negative where more is accounted than a worker has, as during preemption. */
struct Resources {
    std::int64_t accelerators = 0;
    std::int64_t cores = 0;
    std::int64_t memoryMiB = 0;

    Resources &operator+=(const Resources &other)
    {
        accelerators += other.accelerators;
        cores += other.cores;
        memoryMiB += other.memoryMiB;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        accelerators -= other.accelerators;
        cores -= other.cores;
        memoryMiB -= other.memoryMiB;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources &right)
    {
        return left += right;
    }
    friend Resources operator-(Resources left, const Resources &right)
    {
        return left -= right;
    }
    friend Resources operator*(Resources left, std::int64_t factor)
    {
        return {left.accelerators * factor, left.cores * factor, left.memoryMiB * factor};
    }
    bool operator==(const Resources &) const = default;

    [[nodiscard]] bool covers(const Resources &need) const
    {
        return accelerators >= need.accelerators && cores >= need.cores && memoryMiB >= need.memoryMiB;
    }
};

[[nodiscard]] inline Resources minimum(const Resources &left, const Resources &right)
{
    return {std::min(left.accelerators, right.accelerators), std::min(left.cores, right.cores), std::min(left.memoryMiB, right.memoryMiB)};
}

[[nodiscard]] inline Resources perMember(const wire::Shape &shape)
{
    return {shape.acceleratorsPerMember, shape.coresPerMember, static_cast<std::int64_t>(shape.memoryMiBPerMember)};
}

/** Number of members, at most the limit, that fit the available capacity if each of them needs the given amounts. */
[[nodiscard]] inline std::uint32_t membersThatFit(const Resources &available, const Resources &need, std::uint32_t limit)
{
    const auto membersOf = [limit](std::int64_t amount, std::int64_t perMemberAmount) -> std::int64_t {
        if (perMemberAmount == 0) {
            return limit;
        }
        return amount <= 0 ? 0 : amount / perMemberAmount;
    };
    const std::int64_t fitting = std::min({membersOf(available.accelerators, need.accelerators),
                                           membersOf(available.cores, need.cores),
                                           membersOf(available.memoryMiB, need.memoryMiB),
                                           static_cast<std::int64_t>(limit)});
    return static_cast<std::uint32_t>(fitting);
}

/** Whether any placement of the larger shape also has room for the smaller one, member by member. */
[[nodiscard]] inline bool coversShape(const wire::Shape &larger, const wire::Shape &smaller)
{
    return smaller.members <= larger.members && perMember(larger).covers(perMember(smaller)) && smaller.adjacency >= larger.adjacency;
}

} // namespace plantainfork::scheduling
