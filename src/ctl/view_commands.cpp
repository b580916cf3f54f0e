#include "ctl/view_commands.h"

#include <nlohmann/json.hpp>

#include "ctl/answer.h"
#include "ctl/capacity_view.h"
#include "ctl/config_diff.h"
#include "ctl/table.h"

namespace plantainfork::ctl
{

namespace
{

void writeDataCentres(std::ostream &stream, const Json &status)
{
    Table table({"DATA CENTRE", "REGION", "MODE", "MEMBERS", "REVISION IN FORCE", "PERMIT", "LAGGING"});
    for (const auto &dataCentre : fieldItems(status, "dataCentres")) {
        table.add({
            fieldText(dataCentre, "name"),
            fieldText(dataCentre, "region"),
            fieldText(dataCentre, "mode"),
            fieldText(dataCentre, "members"),
            fieldText(dataCentre, "lowestRevision"),
            fieldText(dataCentre, "permit"),
            fieldList(dataCentre, "lagging"),
        });
    }
    table.write(stream);
}

void writeStatus(std::ostream &stream, const Json &status)
{
    const auto &store = fieldItems(status, "store");
    stream << "entry " << fieldText(status, "entry") << " (" << fieldText(status, "state") << "), revision " << fieldText(status, "revision") << ", store "
           << fieldText(store, "state") << " (read " << fieldText(store, "ageMs") << " ms ago)\n\n";
    writeDataCentres(stream, status);
    for (const auto &scheduler : fieldItems(status, "schedulers")) {
        stream << "scheduler of " << fieldText(scheduler, "region") << ": " << fieldText(scheduler, "holder") << '\n';
    }
    for (const auto &alarm : fieldItems(status, "alarms")) {
        stream << "alarm " << fieldText(alarm, "name") << ": " << fieldText(alarm, "detail") << '\n';
    }
}

/** "executor herd-ledger 3/8" or "worker rack-1 5/8": what is in use of what there is. */
std::string targetText(const Json &target)
{
    const auto kind = fieldText(target, "kind");
    if (kind == "executor") {
        return "executor " + fieldText(target, "service") + " " + fieldText(target, "slotsInUse") + "/" + fieldText(target, "slots");
    }
    if (kind == "worker") {
        return "worker " + fieldText(target, "rack") + " " + fieldText(target, "acceleratorsInUse") + "/" + fieldText(target, "accelerators");
    }
    return "-";
}

void writeMembers(std::ostream &stream, const Json &body)
{
    Table table({"MEMBER", "ROLE", "STATE", "DATA CENTRE", "INCARNATION", "TARGET (IN USE/ALL)"});
    for (const auto &member : fieldItems(body, "members")) {
        table.add({
            fieldText(member, "id"),
            fieldText(member, "role"),
            fieldText(member, "state"),
            fieldText(member, "dataCentre"),
            fieldText(member, "incarnation"),
            targetText(fieldItems(member, "target")),
        });
    }
    table.write(stream);
}

void writeHistory(std::ostream &stream, const Json &history)
{
    Table table({"REVISION", "CHANGE", "VALUE", "NOW"});
    for (const auto &change : fieldItems(history, "changes")) {
        table.add({
            fieldText(change, "revision"),
            fieldText(change, "changeId"),
            fieldText(change, "collection") + "/" + fieldText(change, "name"),
            fieldFlag(change, "removed") ? "removed" : fieldText(change, "value"),
        });
    }
    table.write(stream);
}

} // namespace

ExitCode showStatus(const Session &session)
{
    return view(session, "/v1/status", writeStatus);
}

ExitCode showMembers(const Session &session)
{
    return view(session, "/v1/members", writeMembers);
}

ExitCode showCapacity(const Session &session)
{
    return view(session, "/v1/capacity", writeCapacity);
}

ExitCode showConfigHistory(const Session &session)
{
    return view(session, "/v1/config/history", writeHistory);
}

ExitCode showConfigDiff(const Session &session)
{
    const auto result = get(session, "/v1/config/history");
    if (!isSuccess(result)) {
        return reportNoResult(session, result, "");
    }
    const auto diff = diffConfig(parseBody(result.response), session.invocation.from, session.invocation.to);
    if (!diff.ok()) {
        session.messages << "refused: " << diff.status().message() << '\n';
        return ExitCode::Refused;
    }
    if (wantsJson(session)) {
        session.output << diffJson(*diff) << '\n';
    } else {
        session.output << diffText(*diff);
    }
    return ExitCode::Done;
}

} // namespace plantainfork::ctl
