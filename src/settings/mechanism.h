/**
 * Names of the protective mechanisms that a developer may switch off, so that a test can show that it fails
 * without them. Never meant for service: a daemon that starts with one off logs a warning for each.
 */
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace plantainfork::settings
{

enum class Mechanism {
    StartPermit,
    Fencing,
    Claims,
    GangBarrier,
    ConfigMonotonic,
    Incarnation,
    GuaranteeCheck,
    Drain,
};

using Mechanisms = std::set<Mechanism>;

/** The name as it stands in settings, for example "start-permit". */
std::string_view mechanismName(Mechanism mechanism);

/** Nothing for an unknown name. */
std::optional<Mechanism> mechanismFromName(std::string_view name);

/** All names, separated by commas, for messages. */
std::string mechanismNames();

} // namespace plantainfork::settings
