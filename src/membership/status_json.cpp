#include "membership/status_json.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace plantainfork::membership
{

namespace
{

using Json = nlohmann::json;

std::string formatAddress(const wire::Address &rpc)
{
    return rpc.host + ":" + std::to_string(rpc.port);
}

const char *roleName(wire::MemberRole role)
{
    return role == wire::MemberRole::Entry ? "entry" : "agent";
}

const char *stateName(wire::MemberState state)
{
    switch (state) {
    case wire::MemberState::Alive:
        return "alive";
    case wire::MemberState::Leaving:
        return "leaving";
    case wire::MemberState::Left:
        return "left";
    }
    return "";
}

Json offerJson(const wire::TargetOffer &offer)
{
    switch (offer.kind) {
    case wire::TargetKind::Executor:
        return {{"kind", "executor"}, {"service", offer.service.value()}, {"slots", offer.slots}, {"slotsInUse", offer.slotsInUse}};
    case wire::TargetKind::Worker:
        return {{"kind", "worker"}, {"rack", offer.rack.value()}, {"accelerators", offer.accelerators}, {"acceleratorsInUse", offer.acceleratorsInUse}};
    case wire::TargetKind::None:
        break;
    }
    return {{"kind", "none"}};
}

Json memberIdsJson(const std::vector<base::MemberId> &members)
{
    Json json = Json::array();
    for (const auto &member : members) {
        json.push_back(member.value());
    }
    return json;
}

const wire::DataCentre *findDataCentre(const wire::Config &config, const base::DataCentreId &name)
{
    const auto found = config.dataCentres.find(name);
    return found == config.dataCentres.end() || found->second.removed ? nullptr : &found->second.value;
}

} // namespace

std::string agentStatusJson(const AgentStatus &status)
{
    return Json{{"agent", status.id.value()},
                {"revision", status.revision.value()},
                {"permit", status.hasLivePermit ? "live" : "lapsed"},
                {"connected", status.isConnected},
                {"subtree", status.subtreeSize}}
        .dump();
}

std::string entryStatusJson(const EntryStatus &status, const wire::Config &config)
{
    Json dataCentres = Json::array();
    Json alarms = Json::array();
    for (const auto &dataCentreStatus : status.dataCentres) {
        const wire::DataCentre *configured = findDataCentre(config, dataCentreStatus.name);
        const bool isOut = configured && configured->mode == wire::DataCentreMode::Out;
        const bool hasLivePermits = status.isCurrent && dataCentreStatus.isReporting && !isOut && dataCentreStatus.memberCount > 0;
        dataCentres.push_back({{"name", dataCentreStatus.name.value()},
                               {"region", configured ? configured->region.value() : dataCentreStatus.region.value()},
                               {"mode", isOut ? "out" : "in"},
                               {"members", dataCentreStatus.memberCount},
                               {"lowestRevision", dataCentreStatus.lowestRevision.value()},
                               {"lagging", memberIdsJson(dataCentreStatus.lagging)},
                               {"permit", hasLivePermits ? "live" : "lapsed"}});
        if (!dataCentreStatus.lagging.empty()) {
            alarms.push_back({{"name", "configuration-lags"}, {"detail", dataCentreStatus.name.value()}});
        }
    }
    const bool isStoreCurrent = status.storeAge && *status.storeAge < status.permitLifetime;
    if (!isStoreCurrent) {
        alarms.push_back(
            {{"name", "store-not-current"}, {"detail", status.isCurrent ? "permits go on by another entry's view" : "no task starts until it answers"}});
    }
    const Json age = status.storeAge ? Json(status.storeAge->count()) : Json();
    return Json{{"entry", status.id.value()},
                {"incarnation", status.incarnation.value()},
                {"state",
                 status.isLeaving     ? "leaving"
                     : status.isReady ? "ready"
                                      : "starting"},
                {"revision", status.revision.value()},
                {"store",
                 {{"state",
                   isStoreCurrent         ? "current"
                       : status.isCurrent ? "stale"
                                          : "down"},
                  {"ageMs", age}}},
                {"dataCentres", std::move(dataCentres)},
                {"schedulers", Json::array()},
                {"alarms", std::move(alarms)}}
        .dump();
}

std::string inForceJson(const InForceStatus &inForce)
{
    Json dataCentres = Json::array();
    bool isEverywhere = true;
    for (const auto &dataCentreStatus : inForce.dataCentres) {
        const bool isConfirmed = dataCentreStatus.isReporting && dataCentreStatus.lowestRevision >= inForce.revision;
        const bool isInForce = isConfirmed || inForce.haveOlderPermitsExpired;
        isEverywhere = isEverywhere && isInForce;
        dataCentres.push_back({{"name", dataCentreStatus.name.value()},
                               {"inForce", isInForce},
                               {"lowestRevision", dataCentreStatus.lowestRevision.value()},
                               {"lagging", isConfirmed ? Json::array() : memberIdsJson(dataCentreStatus.lagging)}});
    }
    return Json{{"revision", inForce.revision.value()}, {"inForce", isEverywhere}, {"dataCentres", std::move(dataCentres)}}.dump();
}

std::string membersJson(const MemberView &view)
{
    Json members = Json::array();
    for (const auto &[id, record] : view.members) {
        members.push_back({{"id", id.value()},
                           {"incarnation", record.incarnation.value()},
                           {"role", roleName(record.role)},
                           {"state", stateName(record.state)},
                           {"region", record.region.value()},
                           {"dataCentre", record.dataCentre.value()},
                           {"rpc", formatAddress(record.rpc)},
                           {"target", offerJson(record.offer)}});
    }
    return Json{{"members", std::move(members)}}.dump();
}

} // namespace plantainfork::membership
