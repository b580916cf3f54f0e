/** The troubles of a run, drawn from its seed: which comes when, to whom, and how long. They come in series and overlap. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainfork::soak
{

enum class FaultKind : std::uint8_t {
    KillEntry,
    KillAgent,
    KillAll,
    PauseEntry,
    PauseAgent,
    StopEntry,
    StoreSilent,
    StoreTurnsAway,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets,
    CutFromStore,
    SwallowStoreLink,
    CutExecutor,
    ResetExecutorLink,
    CrashExecutor,
    LateOrders,
    FailingExecutor,
    PolicyChange,
    RoomChange,
};
constexpr unsigned FaultKinds = 20;
/** The last of them come in a series of their own, since they last longer. */
constexpr unsigned LongFaultKinds = 1;

[[nodiscard]] std::string_view faultText(FaultKind kind);

struct Fault {
    std::chrono::milliseconds at{0};
    FaultKind kind = FaultKind::KillEntry;
    /** Number of the entry, agent or executor; taken modulo how many there are. */
    unsigned target = 0;
    std::chrono::milliseconds length{0};
};

/** As many faults as fit, a gap apart on average, and the long ones three gaps apart; the last fifth of the time is left without new ones. */
[[nodiscard]] std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length, std::chrono::milliseconds gap);

} // namespace plantainfork::soak
