/**
 * Strong types for the identifiers and counters that daemons exchange, so that a revision can't be
 * passed where a fencing token is meant.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include <msgpack.hpp>

namespace plantainfork::base
{

/** A string that names one kind of thing. An empty name means "none". */
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }
    [[nodiscard]] bool isEmpty() const
    {
        return m_value.empty();
    }
    auto operator<=>(const Name &) const = default;

    MSGPACK_DEFINE(m_value);

private:
    std::string m_value;
};

/** A counter of one kind. Zero means "none yet" for every kind. */
template<typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }
    [[nodiscard]] constexpr Number next() const
    {
        return Number(m_value + 1);
    }
    auto operator<=>(const Number &) const = default;

    MSGPACK_DEFINE(m_value);

private:
    std::uint64_t m_value = 0;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const Name<Tag> &name)
{
    return stream << name.value();
}

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const Number<Tag> &number)
{
    return stream << number.value();
}

using WorkspaceId = Name<struct WorkspaceIdTag>;
using TemplateId = Name<struct TemplateIdTag>;
using DataCentreId = Name<struct DataCentreIdTag>;
using RegionId = Name<struct RegionIdTag>;
using RackId = Name<struct RackIdTag>;
/** The kind of request that an executor serves, for example "herd-ledger". */
using ServiceId = Name<struct ServiceIdTag>;
/** A daemon of this project: entry or agent. Stable for the life of a host, new on its replacement. */
using MemberId = Name<struct MemberIdTag>;
using JobId = Name<struct JobIdTag>;
/** Chosen by the caller; a repeat under the same id is the same request. Scoped by workspace. */
using RequestId = Name<struct RequestIdTag>;
/** Names one operator's change, so that a lost answer can be settled by reading. */
using ChangeId = Name<struct ChangeIdTag>;

/** Position in the total order of accepted configuration changes. Grows by one with each change. */
using Revision = Number<struct RevisionTag>;
/** Distinguishes successive processes under one MemberId. Grows with each start. */
using Incarnation = Number<struct IncarnationTag>;
/** Grows with each new holder of a scheduler lease; agents refuse commands that carry a lower one. */
using FencingToken = Number<struct FencingTokenTag>;

} // namespace plantainfork::base

template<typename Tag>
struct std::hash<plantainfork::base::Name<Tag>> {
    std::size_t operator()(const plantainfork::base::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value());
    }
};

template<typename Tag>
struct std::hash<plantainfork::base::Number<Tag>> {
    std::size_t operator()(const plantainfork::base::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
