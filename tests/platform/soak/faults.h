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
    LargePolicy,
    LoseExecutor,
    HeartbeatOfOtherId,
    HeartbeatOfLaterBirth,
    HeartbeatOfOtherService,
    OddHeartbeat,
    DelayedHeartbeat,
    ForeignGoodbye,
    LateGoodbye,
    ExecutorLeaves,
    PauseExecutor,
    StopPair,
    StopAll,
    StopTwice,
    StopStarting,
    ReloadEntry,
};
constexpr unsigned FaultKinds = 36;
/** The first of them come in one series; the others are drawn apart, so that a seed's series stays as it was. */
constexpr unsigned FrequentFaultKinds = 19;
/** The next to last of them come in a series apart, too: what makes an executor look like another incarnation, or be one. */
constexpr unsigned IncarnationFaultKinds = 10;
/** The last of all come only in calm runs, beside stops of entries and changes of the policy. */
constexpr unsigned PlannedFaultKinds = 5;
/** Every so many seeds the policy grows on slow lines, from seed 1 on. Callers hear many refusals then, so that other troubles meet few jobs. */
constexpr unsigned LargePolicySeeds = 4;

[[nodiscard]] std::string_view faultText(FaultKind kind);

struct Fault {
    std::chrono::milliseconds at{0};
    FaultKind kind = FaultKind::KillEntry;
    /** Number of the entry, agent or executor; taken modulo how many there are. */
    unsigned target = 0;
    std::chrono::milliseconds length{0};
};

/** As many faults as fit, a gap apart on average, changes of room three gaps apart, and troubles about incarnations one and a half; the last fifth of the time
 * is left without new ones. */
[[nodiscard]] std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length, std::chrono::milliseconds gap);

/** Planned work only: stops of entries, other work on them, and changes of the policy, each in a series of its own. */
[[nodiscard]] std::vector<Fault> drawPlannedWork(std::uint64_t seed, std::chrono::milliseconds length, std::chrono::milliseconds gap);
/** Whether it is work that callers shouldn't notice. */
[[nodiscard]] bool isPlanned(FaultKind kind);

} // namespace plantainfork::soak
