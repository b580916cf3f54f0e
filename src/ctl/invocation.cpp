#include "ctl/invocation.h"

#include <charconv>
#include <map>
#include <random>
#include <stdexcept>
#include <utility>

#include <docopt/docopt.h>

#include "base/findings.h"
#include "ctl/duration.h"
#include "settings/address.h"

namespace plantainfork::ctl
{

namespace
{

using Arguments = std::map<std::string, docopt::value>;

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        if (end > begin) {
            parts.push_back(text.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

/** Turns docopt's map into an Invocation, collecting findings about values. */
class Reader
{
public:
    explicit Reader(const Arguments &arguments)
        : m_arguments(arguments)
    {
    }

    Invocation read(const std::string &defaultEntries)
    {
        readCommand();
        readOptions(defaultEntries);
        readChange();
        readWork();
        return std::move(m_invocation);
    }

    [[nodiscard]] const base::Findings &findings() const
    {
        return m_findings;
    }

private:
    [[nodiscard]] bool isSet(const std::string &name) const
    {
        const auto &value = m_arguments.at(name);
        return value.isBool() && value.asBool();
    }

    [[nodiscard]] std::optional<std::string> text(const std::string &name) const
    {
        const auto &value = m_arguments.at(name);
        return value.isString() ? std::optional(value.asString()) : std::nullopt;
    }

    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const
    {
        const auto &value = m_arguments.at(name);
        return value.isStringList() ? value.asStringList() : std::vector<std::string>();
    }

    std::optional<std::chrono::milliseconds> duration(const std::string &name)
    {
        const auto value = text(name);
        const auto parsed = value ? parseDuration(*value) : std::nullopt;
        if (value && !parsed) {
            m_findings.add(name, "\"" + *value + "\" is no duration such as 90s, 15m or 2h");
        }
        return parsed;
    }

    std::optional<base::Revision> revision(const std::string &name)
    {
        const auto value = text(name);
        if (!value) {
            return std::nullopt;
        }
        std::uint64_t number = 0;
        const char *end = value->data() + value->size();
        const auto [rest, error] = std::from_chars(value->data(), end, number);
        if (error != std::errc() || rest != end) {
            m_findings.add(name, "\"" + *value + "\" is no revision");
            return std::nullopt;
        }
        return base::Revision(number);
    }

    void readCommand()
    {
        if (isSet("job")) {
            m_invocation.command = jobCommand();
        } else if (isSet("request")) {
            m_invocation.command = Command::Request;
        } else if (isSet("config")) {
            m_invocation.command = isSet("diff") ? Command::ConfigDiff : Command::ConfigHistory;
        } else if (isSet("explain")) {
            m_invocation.command = Command::ExplainLogs;
        } else if (isSet("check")) {
            m_invocation.command = Command::Check;
        } else if (isSet("capacity")) {
            m_invocation.command = Command::Capacity;
        } else if (isSet("members")) {
            m_invocation.command = Command::Members;
        } else if (isSet("status")) {
            m_invocation.command = Command::Status;
        } else {
            readValueCommand();
        }
    }

    [[nodiscard]] Command jobCommand() const
    {
        if (isSet("submit")) {
            return Command::SubmitJob;
        }
        if (isSet("explain")) {
            return Command::ExplainJob;
        }
        if (isSet("cancel")) {
            return Command::CancelJob;
        }
        return isSet("show") ? Command::ShowJob : Command::ListJobs;
    }

    void readValueCommand()
    {
        if (isSet("workspace")) {
            m_invocation.collection = Collection::Workspaces;
        } else if (isSet("datacentre")) {
            m_invocation.collection = Collection::DataCentres;
        }
        if (isSet("in") || isSet("out")) {
            m_invocation.command = Command::SetDataCentreMode;
            m_invocation.mode = isSet("in") ? wire::DataCentreMode::In : wire::DataCentreMode::Out;
        } else if (isSet("set")) {
            m_invocation.command = Command::SetValue;
        } else if (isSet("show")) {
            m_invocation.command = Command::ShowValue;
        } else {
            m_invocation.command = isSet("remove") ? Command::RemoveValue : Command::ListValues;
        }
    }

    void readOptions(const std::string &defaultEntries)
    {
        auto &options = m_invocation.options;
        options.output = isSet("--json") ? OutputForm::JsonText : OutputForm::PlainText;
        options.timeout = duration("--timeout").value_or(options.timeout);
        options.wait = duration("--wait").value_or(options.wait);
        auto entries = texts("--entry");
        const std::string origin = entries.empty() ? "PLANTAINFORK_ENTRIES" : "--entry";
        if (entries.empty()) {
            entries = splitAtCommas(defaultEntries);
        }
        for (const auto &entry : entries) {
            if (auto address = settings::parseAddress(entry)) {
                options.entries.push_back(std::move(*address));
            } else {
                m_findings.add(origin, "\"" + entry + "\" is no IP:PORT");
            }
        }
        const bool isLocal = m_invocation.command == Command::Check || m_invocation.command == Command::ExplainLogs;
        if (entries.empty() && !isLocal) {
            m_findings.add("--entry", "is missing, and PLANTAINFORK_ENTRIES isn't set");
        }
    }

    void readChange()
    {
        m_invocation.name = text("NAME").value_or("");
        m_invocation.assignments = texts("--set");
        m_invocation.changeId = base::ChangeId(text("--change-id").value_or(generateId()));
        m_invocation.ifMatch = revision("--if-match");
        m_invocation.region = base::RegionId(text("--region").value_or(""));
        m_invocation.from = revision("FROM").value_or(base::Revision());
        m_invocation.to = revision("TO");
        m_invocation.files = texts("FILE");
        if (m_invocation.command == Command::SetValue && !m_invocation.files.empty()) {
            m_invocation.file = m_invocation.files.front();
        }
        if (m_invocation.command == Command::SetValue && !m_invocation.file && m_invocation.assignments.empty()) {
            m_findings.add("FILE", "is missing: give a file or --set");
        }
    }

    void readWork()
    {
        m_invocation.workspace = base::WorkspaceId(text("WORKSPACE").value_or(""));
        m_invocation.templateId = base::TemplateId(text("TEMPLATE").value_or(""));
        m_invocation.service = base::ServiceId(text("SERVICE").value_or(""));
        m_invocation.path = text("PATH").value_or("");
        m_invocation.data = text("--data");
        m_invocation.runTime = duration("RUNTIME").value_or(std::chrono::milliseconds(0));
        m_invocation.deadline = duration("--deadline");
        m_invocation.id = text("ID").value_or(text("--id").value_or(generateId()));
    }

    const Arguments &m_arguments;
    Invocation m_invocation;
    base::Findings m_findings;
};

} // namespace

std::variant<Invocation, Ending> parseCommandLine(const std::vector<std::string> &arguments, const std::string &defaultEntries)
{
    try {
        const auto parsed = docopt::docopt_parse(std::string(usageText()), arguments);
        Reader reader(parsed);
        auto invocation = reader.read(defaultEntries);
        if (!reader.findings().isEmpty()) {
            return Ending{ExitCode::Usage, reader.findings().text()};
        }
        return invocation;
    } catch (const docopt::DocoptExitHelp &) {
        return Ending{ExitCode::Done, std::string(usageText())};
    } catch (const docopt::DocoptExitVersion &) {
        return Ending{ExitCode::Done, "plantainfork " PLANTAINFORK_VERSION "\n"};
    } catch (const docopt::DocoptArgumentError &error) {
        return Ending{ExitCode::Usage, std::string(error.what()) + "\nSee plantainfork --help.\n"};
    }
}

std::string generateId()
{
    constexpr std::string_view Digits = "0123456789abcdefghjkmnpqrstvwxyz";
    constexpr int Length = 20;
    std::random_device device;
    std::uniform_int_distribution<std::size_t> digit(0, Digits.size() - 1);
    std::string id;
    for (int position = 0; position < Length; ++position) {
        id += Digits[digit(device)];
    }
    return id;
}

} // namespace plantainfork::ctl
