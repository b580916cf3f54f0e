#include "explain/timeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace plantainfork::explain
{

namespace
{

/** How long before the first line a change of belief may still have decided about it: the longest lease of what runs. */
constexpr std::chrono::seconds Before{10};

/** How long after a job's last line the hosts on which runs were lost are followed: a run that lives on ends with the longest lease. */
constexpr std::chrono::seconds AfterLoss{10};

/** How long after a request's last line its entry is followed: a drain tells what it cut before it tells that it ended. */
constexpr std::chrono::seconds AfterCut{1};

/** Steps of a job's life in the order in which one causes the next. */
constexpr std::array<std::string_view, 7> Stages{"job accepted", "job known", "unit placed", "run started", "unit stopping", "run ended", "job ended"};

/** Who schedules, and whether the store is reached: these concern every job. */
constexpr std::array<std::string_view, 9> SharedBeliefs{"office taken",
                                                        "office lost",
                                                        "office given up",
                                                        "office left",
                                                        "jobs loaded",
                                                        "lease not renewed",
                                                        "lease renewed again",
                                                        "records not written",
                                                        "records written again"};

/** What a process believes about its own way to others: these concern the jobs that it has to do with. */
constexpr std::array<std::string_view, 24> OwnBeliefs{"policy not confirmed",
                                                      "policy still not confirmed",
                                                      "policy watch ended",
                                                      "policy confirmed again",
                                                      "policy in force",
                                                      "store turned this entry away, going through peers",
                                                      "store reached again",
                                                      "readiness changed",
                                                      "scheduler reached",
                                                      "scheduler not reached",
                                                      "scheduler's lease",
                                                      "executor known",
                                                      "executor says goodbye",
                                                      "executor left",
                                                      "goodbye not confirmed",
                                                      "executor reached",
                                                      "executor not reached",
                                                      "executor crashed",
                                                      "executor restarted unannounced",
                                                      "announcement of another writer",
                                                      "announced incarnation not confirmed",
                                                      "earlier process of this agent has a later start time",
                                                      "connection rejected",
                                                      "daemon starting"};

/** An entry's stop, and whom it takes for the leader: these concern the requests that it had open. */
constexpr std::array<std::string_view, 7> EntryBeliefs{"daemon stopping",
                                                       "entry drained",
                                                       "daemon stopped",
                                                       "leader known",
                                                       "leader unknown",
                                                       "waiting jobs not counted",
                                                       "waiting jobs counted again"};

/** What a drain did to requests that were open; these lines have no id of a request. */
constexpr std::array<std::string_view, 2> DrainEvents{"request abandoned", "connection cut"};

/** What the scheduler believes about a host: these concern the jobs that ran there. */
constexpr std::array<std::string_view, 9> HostBeliefs{"host draining",
                                                      "host suspended",
                                                      "host doubtful",
                                                      "host trusted again",
                                                      "host slow",
                                                      "host no longer slow",
                                                      "executor of host new",
                                                      "executor left its host",
                                                      "executor not reached by its agent"};

template<std::size_t Size>
bool isOneOf(const std::array<std::string_view, Size> &events, const std::string &event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

std::size_t stageOf(const LogLine &line)
{
    const auto found = std::find(Stages.begin(), Stages.end(), line.event);
    return static_cast<std::size_t>(found - Stages.begin());
}

std::set<std::string> splitAtCommas(const std::string &text)
{
    std::set<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.insert(part);
    }
    return parts;
}

/** The job that a line is about; an answer that could not be delivered names it only in its target. */
std::string jobOf(const LogLine &line)
{
    if (line.event != "answer not delivered") {
        return line.field("job");
    }
    const std::string target = line.field("target").substr(0, line.field("target").find('?'));
    return target.substr(target.rfind('/') + 1);
}

/** The path of the request on the connection that a line is about. */
std::string pathOnConnection(const LogLine &line)
{
    const std::string &text = line.field("request_line");
    const std::string target = text.substr(std::min(text.find(' ') + 1, text.size()));
    return target.substr(0, target.find('?'));
}

bool isUnconfirmed(const LogLine &line)
{
    return line.event == "request refused" && line.field("reason") == "policy not confirmed";
}

/** Since when the policy was not confirmed at each entry that refused requests about the job for that reason. */
std::map<std::string, LogTime> unconfirmedSince(const std::vector<LogLine> &jobLines)
{
    std::map<std::string, LogTime> since;
    for (const auto &line : jobLines) {
        if (isUnconfirmed(line)) {
            const LogTime confirmed = line.time - std::chrono::milliseconds(line.number("age_ms").value_or(0));
            const auto [entry, isNew] = since.emplace(line.field("member"), confirmed);
            entry->second = std::min(entry->second, confirmed);
        }
    }
    return since;
}

/** The lines of the newest policy in force by then at each of the members, and of the newest at any entry. */
std::set<const LogLine *> policiesInForce(const std::vector<LogLine> &lines, const std::map<std::string, LogTime> &members, LogTime until)
{
    std::map<std::string, const LogLine *> newest;
    for (const auto &line : lines) {
        if (line.event != "policy in force" || line.time > until) {
            continue;
        }
        for (const auto &member : {line.field("member"), std::string()}) {
            const auto [entry, isNew] = newest.emplace(member, &line);
            if (line.number("revision") > entry->second->number("revision")) {
                entry->second = &line;
            }
        }
    }
    std::set<const LogLine *> found;
    for (const auto &[member, line] : newest) {
        if (member.empty() || members.contains(member)) {
            found.insert(line);
        }
    }
    return found;
}

/** Lines of one attempt belong together; those without an attempt concern the whole job. */
std::string attemptOf(const LogLine &line)
{
    return line.field("attempt");
}

/** The time that a line gets in the order: its own, or that of its cause if that is later. */
std::vector<LogTime> orderedTimes(const std::vector<LogLine> &lines)
{
    std::map<std::pair<std::string, std::size_t>, LogTime> earliest;
    for (const auto &line : lines) {
        const auto stage = stageOf(line);
        const auto [entry, isNew] = earliest.emplace(std::pair(attemptOf(line), stage), line.time);
        entry->second = std::min(entry->second, line.time);
    }
    std::vector<LogTime> times;
    for (const auto &line : lines) {
        LogTime time = line.time;
        for (std::size_t stage = 0; stage < stageOf(line) && stageOf(line) < Stages.size(); ++stage) {
            for (const auto &attempt : {std::string(), attemptOf(line)}) {
                const auto cause = earliest.find({attempt, stage});
                time = cause != earliest.end() ? std::max(time, cause->second) : time;
            }
        }
        times.push_back(time);
    }
    return times;
}

void order(std::vector<LogLine> &lines)
{
    const auto times = orderedTimes(lines);
    std::vector<std::size_t> places(lines.size());
    for (std::size_t i = 0; i < places.size(); ++i) {
        places[i] = i;
    }
    std::stable_sort(places.begin(), places.end(), [&](std::size_t a, std::size_t b) {
        return std::pair(times[a], stageOf(lines[a])) < std::pair(times[b], stageOf(lines[b]));
    });
    std::vector<LogLine> ordered;
    for (const auto place : places) {
        ordered.push_back(std::move(lines[place]));
    }
    lines = std::move(ordered);
}

} // namespace

Timeline gather(const std::vector<LogLine> &lines, const std::string &id)
{
    const bool isJob = std::any_of(lines.begin(), lines.end(), [&](const LogLine &line) {
        return jobOf(line) == id;
    });
    Timeline timeline{isJob ? Subject::Job : Subject::Request, id, {}};
    std::set<std::string> members;
    std::set<std::string> hosts;
    std::set<std::string> paths;
    std::set<std::string> lostHosts;
    std::set<std::string> lostInstances;
    LogTime first = LogTime::max();
    LogTime last = LogTime::min();
    for (const auto &line : lines) {
        if ((isJob ? jobOf(line) : line.field("request")) != id) {
            continue;
        }
        timeline.lines.push_back(line);
        if (isJob) {
            timeline.lines.back().fields["job"] = id;
        }
        members.insert(line.field("member"));
        paths.insert(line.field("path"));
        hosts.merge(splitAtCommas(line.field("hosts")));
        if (line.event == "run lost") {
            lostHosts.insert(line.field("host"));
            lostInstances.insert(line.field("instance"));
        }
        first = std::min(first, line.time);
        last = std::max(last, line.time);
    }
    hosts.insert(lostHosts.begin(), lostHosts.end());
    members.insert(hosts.begin(), hosts.end());
    const std::chrono::seconds afterLast = isJob ? std::chrono::seconds(0) : AfterCut;
    const auto unconfirmed = unconfirmedSince(timeline.lines);
    const auto policies = unconfirmed.empty() ? std::set<const LogLine *>() : policiesInForce(lines, unconfirmed, last);
    for (const auto &line : lines) {
        const auto since = unconfirmed.find(line.field("member"));
        const LogTime begin = since == unconfirmed.end() ? first : std::min(first, since->second);
        const bool isOfLostHost = lostHosts.contains(line.field("member")) || lostHosts.contains(line.field("host"));
        const LogTime end = last + (isOfLostHost ? AfterLoss : afterLast);
        const bool isMeanwhile = jobOf(line).empty() && line.time + Before >= begin && line.time <= end;
        const bool isOfMember = isOneOf(OwnBeliefs, line.event) || (!isJob && isOneOf(EntryBeliefs, line.event))
            || (!isJob && isOneOf(DrainEvents, line.event) && paths.contains(pathOnConnection(line)));
        const bool isBelief = isOneOf(SharedBeliefs, line.event) || (isOfMember && members.contains(line.field("member")))
            || (isOneOf(HostBeliefs, line.event) && hosts.contains(line.field("host")));
        // When an agent began to know the incarnation that lost runs were on, however long before.
        const bool isOfLostInstance = line.event == "executor known" && isOfLostHost && lostInstances.contains(line.field("instance")) && line.time < begin;
        if ((isMeanwhile && isBelief) || isOfLostInstance || policies.contains(&line)) {
            timeline.lines.push_back(line);
        }
    }
    order(timeline.lines);
    return timeline;
}

bool isOwn(const Timeline &timeline, const LogLine &line)
{
    return line.field(timeline.subject == Subject::Job ? "job" : "request") == timeline.id;
}

std::vector<const LogLine *> ownLines(const Timeline &timeline, const std::string &event)
{
    std::vector<const LogLine *> found;
    for (const auto &line : timeline.lines) {
        if (line.event == event && isOwn(timeline, line)) {
            found.push_back(&line);
        }
    }
    return found;
}

std::string describe(const Timeline &timeline)
{
    if (timeline.lines.empty()) {
        return "";
    }
    const LogTime first = timeline.lines.front().time;
    std::ostringstream text;
    for (const auto &line : timeline.lines) {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(line.time - first);
        text << (isOwn(timeline, line) ? "  " : "~ ") << since.count() << " ms  " << line.field("member") << "  " << line.event;
        for (const auto &[name, value] : line.fields) {
            const bool isSubject = name == (timeline.subject == Subject::Job ? "job" : "request");
            if (!isSubject && name != "member" && name != "role" && name != "severity") {
                text << "  " << name << '=' << value;
            }
        }
        text << '\n';
    }
    return text.str();
}

} // namespace plantainfork::explain
