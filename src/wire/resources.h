/** Shapes, urgency and other plain values that both configuration and messages carry. */
#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace plantainfork::wire
{

/** How close together the members of a gang must be. */
enum class Adjacency : std::uint8_t {
    Host,
    Rack,
    DataCentre,
};

/** Order of importance; urgent work may take back borrowed capacity. */
enum class Urgency : std::uint8_t {
    Urgent,
    Normal,
    Patient,
};

/** What one gang needs. Every member needs the same. */
struct Shape {
    std::uint32_t members = 1;
    std::uint32_t acceleratorsPerMember = 0;
    std::uint32_t coresPerMember = 1;
    std::uint64_t memoryMiBPerMember = 0;
    Adjacency adjacency = Adjacency::DataCentre;

    auto operator<=>(const Shape &) const = default;
    MSGPACK_DEFINE_MAP(members, acceleratorsPerMember, coresPerMember, memoryMiBPerMember, adjacency);
};

} // namespace plantainfork::wire

MSGPACK_ADD_ENUM(plantainfork::wire::Adjacency);
MSGPACK_ADD_ENUM(plantainfork::wire::Urgency);
