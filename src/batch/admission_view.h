/** What an entry knows of the records of closed workspaces; see AdmissionRecords. */
#pragma once

#include <chrono>
#include <map>

#include "base/ids.h"
#include "runtime/clock.h"
#include "store/key_value.h"

namespace plantainfork::batch
{

class AdmissionView
{
public:
    /** The revision that a write for the workspace has to require. */
    [[nodiscard]] store::Index index(const base::WorkspaceId &workspace) const
    {
        const auto found = m_known.find(workspace);
        return found != m_known.end() ? found->second.index : store::Index();
    }
    [[nodiscard]] bool isClosed(const base::WorkspaceId &workspace) const
    {
        const auto found = m_known.find(workspace);
        return found != m_known.end() && found->second.isClosed;
    }
    /** Whether the workspace was closed when its record was last read, and that was a while ago. */
    [[nodiscard]] bool shouldReadAgain(const base::WorkspaceId &workspace, runtime::Instant now) const
    {
        const auto found = m_known.find(workspace);
        return found != m_known.end() && found->second.isClosed && now - found->second.readAt >= ClosedLife;
    }
    /** Takes a record that was read. An older one than the one known is ignored. */
    void set(const base::WorkspaceId &workspace, store::Index index, bool isClosed, runtime::Instant now)
    {
        if (index == store::Index()) {
            return;
        }
        Known &known = m_known[workspace];
        if (index >= known.index) {
            known = {index, isClosed, now};
        }
    }

private:
    /** How long a closure is taken to last without another look, so that a crowd of refused callers causes few reads. */
    static constexpr std::chrono::milliseconds ClosedLife{1000};

    struct Known {
        store::Index index;
        bool isClosed = false;
        runtime::Instant readAt{};
    };

    /** Workspaces that were ever closed. */
    std::map<base::WorkspaceId, Known> m_known;
};

} // namespace plantainfork::batch
