#include "settings/mechanism.h"

#include <array>

namespace plantainfork::settings
{

namespace
{

constexpr std::array AllMechanisms{
    Mechanism::StartPermit,
    Mechanism::Fencing,
    Mechanism::Claims,
    Mechanism::GangBarrier,
    Mechanism::ConfigMonotonic,
    Mechanism::Incarnation,
    Mechanism::GuaranteeCheck,
    Mechanism::Drain,
};

} // namespace

std::string_view mechanismName(Mechanism mechanism)
{
    switch (mechanism) {
    case Mechanism::StartPermit:
        return "start-permit";
    case Mechanism::Fencing:
        return "fencing";
    case Mechanism::Claims:
        return "claims";
    case Mechanism::GangBarrier:
        return "gang-barrier";
    case Mechanism::ConfigMonotonic:
        return "config-monotonic";
    case Mechanism::Incarnation:
        return "incarnation";
    case Mechanism::GuaranteeCheck:
        return "guarantee-check";
    case Mechanism::Drain:
        return "drain";
    }
    return "";
}

std::optional<Mechanism> mechanismFromName(std::string_view name)
{
    for (const auto mechanism : AllMechanisms) {
        if (mechanismName(mechanism) == name) {
            return mechanism;
        }
    }
    return std::nullopt;
}

std::string mechanismNames()
{
    std::string names;
    for (const auto mechanism : AllMechanisms) {
        names += names.empty() ? "" : ", ";
        names += mechanismName(mechanism);
    }
    return names;
}

} // namespace plantainfork::settings
