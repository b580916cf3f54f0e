#include "ctl/log_commands.h"

#include <algorithm>
#include <fstream>

#include "explain/timeline.h"
#include "explain/verdict.h"

namespace plantainfork::ctl
{

namespace
{

/** Unreadable lines that are named; the others are counted. */
constexpr std::size_t NamedLines = 5;

void reportUnreadable(const std::vector<std::string> &places, std::ostream &messages)
{
    if (places.empty()) {
        return;
    }
    messages << places.size() << " lines can't be read:";
    for (std::size_t i = 0; i < std::min(places.size(), NamedLines); ++i) {
        messages << ' ' << places[i];
    }
    messages << (places.size() > NamedLines ? " ...\n" : "\n");
}

} // namespace

ExitCode explainLogs(const Session &session)
{
    explain::ReadLog log;
    for (const auto &file : session.invocation.files) {
        std::ifstream input(file);
        if (input) {
            explain::readLog(input, file, log);
        } else {
            session.messages << file << ": can't be read\n";
        }
    }
    reportUnreadable(log.unreadable, session.messages);
    const auto timeline = explain::gather(log.lines, session.invocation.id);
    session.output << explain::describe(timeline) << explain::verdict(timeline) << '\n';
    return timeline.lines.empty() ? ExitCode::Refused : ExitCode::Done;
}

} // namespace plantainfork::ctl
