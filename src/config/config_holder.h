/** The configuration in force in this process. It only ever moves forward. */
#pragma once

#include <memory>
#include <mutex>

#include "base/ids.h"
#include "runtime/published.h"
#include "wire/config_messages.h"

namespace plantainfork::config
{

enum class Monotonic {
    /** Lower revisions are dropped. */
    Kept,
    /** Whatever arrives replaces what is there; only to show what the rule protects from. */
    Off,
};

class ConfigHolder
{
public:
    explicit ConfigHolder(Monotonic monotonic = Monotonic::Kept);

    /** Takes in all values that are newer than those held. Returns whether the revision in force grew. May be called from any thread. */
    bool merge(const wire::Config &changes);

    [[nodiscard]] const runtime::Published<wire::Config> &config() const;
    [[nodiscard]] base::Revision revision() const;

private:
    const Monotonic m_monotonic;
    /** Orders merges; readers don't take it. */
    std::mutex m_merging;
    runtime::Published<wire::Config> m_config;
};

/** The values of a configuration that changed after a revision; its own revision is the whole configuration's. */
wire::Config changesAfter(const wire::Config &config, base::Revision revision);

} // namespace plantainfork::config
