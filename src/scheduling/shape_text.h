/** Formats shapes for reasons and findings. */
#pragma once

#include <string>

#include "wire/resources.h"

namespace plantainfork::scheduling
{

/** For example "4 x 8 accelerators in one rack". */
[[nodiscard]] inline std::string describe(const wire::Shape &shape)
{
    std::string text = std::to_string(shape.members) + " x ";
    if (shape.acceleratorsPerMember > 0) {
        text += std::to_string(shape.acceleratorsPerMember) + " accelerators";
    } else {
        text += std::to_string(shape.coresPerMember) + " cores";
    }
    switch (shape.adjacency) {
    case wire::Adjacency::Host:
        return text + " on one host";
    case wire::Adjacency::Rack:
        return text + " in one rack";
    case wire::Adjacency::DataCentre:
        return text + " in one data centre";
    }
    return text;
}

} // namespace plantainfork::scheduling
