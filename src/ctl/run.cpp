#include "ctl/run.h"

#include "ctl/invocation.h"
#include "ctl/log_commands.h"
#include "ctl/session.h"
#include "ctl/value_commands.h"
#include "ctl/view_commands.h"
#include "ctl/work_commands.h"
#include "settings/settings.h"

namespace plantainfork::ctl
{

namespace
{

ExitCode checkSettings(const Session &session)
{
    auto code = ExitCode::Done;
    for (const auto &file : session.invocation.files) {
        const auto result = settings::load(file);
        if (const auto *findings = std::get_if<base::Findings>(&result)) {
            session.messages << findings->text();
            code = ExitCode::Refused;
        } else {
            session.output << file << ": valid\n";
        }
    }
    return code;
}

ExitCode dispatch(const Session &session)
{
    switch (session.invocation.command) {
    case Command::SetValue:
        return setValue(session);
    case Command::ShowValue:
        return showValue(session);
    case Command::ListValues:
        return listValues(session);
    case Command::RemoveValue:
        return removeValue(session);
    case Command::SetDataCentreMode:
        return setDataCentreMode(session);
    case Command::SubmitJob:
        return submitJob(session);
    case Command::ShowJob:
        return showJob(session);
    case Command::ExplainJob:
        return explainJob(session);
    case Command::CancelJob:
        return cancelJob(session);
    case Command::ListJobs:
        return listJobs(session);
    case Command::Request:
        return sendRequest(session);
    case Command::Capacity:
        return showCapacity(session);
    case Command::Members:
        return showMembers(session);
    case Command::Status:
        return showStatus(session);
    case Command::ConfigHistory:
        return showConfigHistory(session);
    case Command::ConfigDiff:
        return showConfigDiff(session);
    case Command::ExplainLogs:
        return explainLogs(session);
    case Command::Check:
        return checkSettings(session);
    }
    return ExitCode::Usage;
}

} // namespace

ExitCode run(const std::vector<std::string> &arguments, const std::string &defaultEntries, std::ostream &output, std::ostream &messages)
{
    const auto parsed = parseCommandLine(arguments, defaultEntries);
    if (const auto *ending = std::get_if<Ending>(&parsed)) {
        (ending->code == ExitCode::Done ? output : messages) << ending->text;
        return ending->code;
    }
    const auto &invocation = std::get<Invocation>(parsed);
    EntryClient entries(invocation.options.entries, invocation.options.timeout);
    return dispatch({entries, invocation, output, messages});
}

} // namespace plantainfork::ctl
