/** What one call of the tool was asked to do, read from its command line and environment. */
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "ctl/exit_code.h"
#include "wire/config_messages.h"
#include "wire/member_messages.h"

namespace plantainfork::ctl
{

enum class Command {
    SetValue,
    ShowValue,
    ListValues,
    RemoveValue,
    SetDataCentreMode,
    SubmitJob,
    ShowJob,
    ExplainJob,
    CancelJob,
    ListJobs,
    Request,
    Capacity,
    Members,
    Status,
    ConfigHistory,
    ConfigDiff,
    ExplainLogs,
    Check,
};

/** Kinds of operators' values; each is a collection of the entry's HTTP interface. */
enum class Collection {
    Templates,
    Workspaces,
    DataCentres,
};

enum class OutputForm {
    PlainText,
    JsonText,
};

struct Options {
    /** Tried in this order. Never empty for a command that calls an entry. */
    std::vector<wire::Address> entries;
    OutputForm output = OutputForm::PlainText;
    /** Bound on a whole call, over all entries tried. */
    std::chrono::milliseconds timeout{10'000};
    /** How long to wait for an accepted change to be in force everywhere. */
    std::chrono::milliseconds wait{5'000};
};

struct Invocation {
    Command command = Command::Status;
    Options options;

    /** SetValue, ShowValue, ListValues, RemoveValue. */
    Collection collection = Collection::Templates;
    /** Name of the template, workspace or data centre. */
    std::string name;
    /** SetValue: the document to start from; unset means the value in the store. "-" is standard input. */
    std::optional<std::string> file;
    /** SetValue: KEY=VALUE changes on top. */
    std::vector<std::string> assignments;
    /** Changes: generated unless given. */
    base::ChangeId changeId;
    /** Changes: refuse unless the value still has this revision. */
    std::optional<base::Revision> ifMatch;

    /** SetDataCentreMode. */
    wire::DataCentreMode mode = wire::DataCentreMode::In;
    /** SetDataCentreMode: needed for a data centre that isn't configured yet. */
    base::RegionId region;

    /** SubmitJob, Request; ListJobs when not empty. */
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    std::chrono::milliseconds runTime{0};
    std::optional<std::chrono::milliseconds> deadline;
    /** Id of a job or request; generated for SubmitJob and Request unless given. */
    std::string id;

    base::ServiceId service;
    std::string path;
    /** Request: file with the body, "-" for standard input. */
    std::optional<std::string> data;

    base::Revision from;
    /** ConfigDiff: unset means the newest. */
    std::optional<base::Revision> to;

    /** Check: settings files. ExplainLogs: logs. */
    std::vector<std::string> files;
};

/** Output and exit code of a command line that asks for nothing more, or is wrong. */
struct Ending {
    ExitCode code = ExitCode::Done;
    std::string text;
};

/** `defaultEntries` is the value of PLANTAINFORK_ENTRIES, separated by commas; used when there is no --entry. */
std::variant<Invocation, Ending> parseCommandLine(const std::vector<std::string> &arguments, const std::string &defaultEntries);

/** The text of --help. */
std::string_view usageText();

/** A new random id for a change, job or request. */
std::string generateId();

} // namespace plantainfork::ctl
