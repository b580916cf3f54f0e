/** A check before decoding: the element counts that msgpack bytes declare must fit the bytes that are there. */
#pragma once

#include <string_view>

namespace plantainfork::wire
{

/** Deepest nesting of arrays and maps in any message, with room for members of later versions. */
constexpr unsigned MostNesting = 32;

/**
 * Whether the declared elements fit the bytes and the nesting is bounded. The decoder allocates what a header declares before it
 * reads on, so that six bytes could ask for 2^32 elements.
 */
bool isDeclaredSizeSound(std::string_view bytes);

} // namespace plantainfork::wire
