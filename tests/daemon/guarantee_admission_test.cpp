#include <catch2/catch.hpp>

#include "daemon/guarantee_admission.h"

using namespace plantainfork;

namespace
{

/** Two workers of eight accelerators in one rack. */
membership::MemberView twoWorkers()
{
    membership::MemberView view;
    for (const char *name : {"worker-1", "worker-2"}) {
        wire::MemberRecord record;
        record.id = base::MemberId(name);
        record.incarnation = base::Incarnation(1);
        record.region = base::RegionId("atlas-north");
        record.dataCentre = base::DataCentreId("ifrane-pens");
        record.offer.kind = wire::TargetKind::Worker;
        record.offer.rack = base::RackId("rack-1");
        record.offer.accelerators = 8;
        record.offer.cores = 64;
        record.offer.memoryMiB = 1024;
        view.workers.push_back(record);
    }
    return view;
}

wire::Config guaranteeing(std::uint32_t gangs)
{
    wire::Config config;
    wire::Template reconcile;
    reconcile.name = base::TemplateId("reconcile");
    reconcile.kind = wire::WorkKind::Job;
    reconcile.shape = {1, 8, 1, 1, wire::Adjacency::DataCentre};
    wire::Workspace atlas;
    atlas.name = base::WorkspaceId("atlas");
    atlas.grants.push_back({reconcile.name, gangs, 0, {0}, {}});
    const wire::DataCentre dataCentre{base::DataCentreId("ifrane-pens"), base::RegionId("atlas-north"), wire::DataCentreMode::In};
    config.templates[reconcile.name] = {reconcile, base::Revision(1), false};
    config.workspaces[atlas.name] = {atlas, base::Revision(1), false};
    config.dataCentres[dataCentre.name] = {dataCentre, base::Revision(1), false};
    return config;
}

} // namespace

TEST_CASE("A guarantee that fits is admitted, one that can't be met is refused")
{
    REQUIRE(daemon::newlyUnmetGuarantees(guaranteeing(0), guaranteeing(2), twoWorkers()).isEmpty());
    REQUIRE_FALSE(daemon::newlyUnmetGuarantees(guaranteeing(0), guaranteeing(3), twoWorkers()).isEmpty());
}

TEST_CASE("A guarantee that can't be met already doesn't hold up other changes")
{
    REQUIRE(daemon::newlyUnmetGuarantees(guaranteeing(3), guaranteeing(3), twoWorkers()).isEmpty());
}

TEST_CASE("While no worker is known nothing is refused")
{
    REQUIRE(daemon::newlyUnmetGuarantees(guaranteeing(0), guaranteeing(3), {}).isEmpty());
}
