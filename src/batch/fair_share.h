/**
 * Records the service that each workspace has recently received beyond its guarantee, and compares the workspaces' shares of it in a few
 * coarse levels. Does no I/O and reads no clock: the caller passes the time.
 *
 * Designed for a few large workspaces whose urgent and long jobs compete with those of small workspaces for the capacity beyond all
 * guarantees. Without a record of past service, the workspace that submits many small jobs is always served first.
 */
#pragma once

#include <chrono>
#include <map>

#include "batch/model.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

/**
 * Core equivalents that workspaces use beyond their guarantees at one time. Contains all workspaces that compete for the capacity beyond
 * guarantees, that is, have units waiting or running there; those that only wait use 0.
 */
using ServiceUse = std::map<base::WorkspaceId, double>;

class FairShare
{
public:
    /** `halfLife`: time after which received service counts half; 0: nothing is recorded, and all workspaces are at level 0. */
    explicit FairShare(std::chrono::seconds halfLife);

    [[nodiscard]] bool isOn() const
    {
        return m_halfLife > std::chrono::seconds(0);
    }
    /** Adds the service since the previous call, during which the workspaces are taken to have used what they use now, and updates the levels. */
    void add(const ServiceUse &use, runtime::Instant now);
    /** 0: has received at most its even share among the workspaces that compete; 1: at most twice that; 2: more. */
    [[nodiscard]] int level(const base::WorkspaceId &workspace) const;
    /** The workspace's part, 0 to 1, of the service that all workspaces have recently received beyond their guarantees. */
    [[nodiscard]] double share(const base::WorkspaceId &workspace) const;

private:
    struct Record {
        /** Decayed core-equivalent seconds. */
        double service = 0;
        int level = 0;
    };

    void updateLevels(const ServiceUse &use);

    std::chrono::seconds m_halfLife;
    runtime::Instant m_addedAt;
    std::map<base::WorkspaceId, Record> m_records;
};

} // namespace plantainfork::batch
