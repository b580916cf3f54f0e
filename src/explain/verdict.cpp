#include "explain/verdict.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "explain/lost_runs.h"

namespace plantainfork::explain
{

namespace
{

using Duration = std::chrono::microseconds;

struct Phase {
    std::string name;
    LogTime from;
    LogTime to;
    /** What explains it when it was long. */
    std::string cause;

    [[nodiscard]] Duration length() const
    {
        return to - from;
    }
};

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

/** Events of others between two times, each with its number. */
std::string between(const Timeline &timeline, LogTime from, LogTime to)
{
    std::map<std::string, unsigned> events;
    for (const auto &line : timeline.lines) {
        if (!isOwn(timeline, line) && line.time >= from && line.time <= to) {
            ++events[line.event];
        }
    }
    std::string text;
    for (const auto &[event, count] : events) {
        text += (text.empty() ? "" : ", ") + event + (count > 1 ? " (" + std::to_string(count) + " times)" : "");
    }
    return text.empty() ? "" : "meanwhile: " + text;
}

std::string refusalText(const Timeline &timeline, const std::vector<const LogLine *> &refusals)
{
    const LogLine &last = *refusals.back();
    const std::string reason = last.field("why").empty() ? last.field("reason") : last.field("why");
    std::string text = timeline.id + " was refused by " + last.field("member") + ": " + (reason.empty() ? last.event : reason);
    if (!last.field("age_ms").empty()) {
        text += " (for " + last.field("age_ms") + " ms)";
    }
    if (!last.field("version").empty()) {
        text += ", under policy version " + last.field("version");
    }
    if (refusals.size() > 1) {
        text += "; " + std::to_string(refusals.size()) + " refusals in all";
    }
    const std::string meanwhile = between(timeline, LogTime::min(), last.time);
    return text + (meanwhile.empty() ? "." : "; " + meanwhile + ".");
}

std::vector<const LogLine *> refusalsOf(const Timeline &timeline)
{
    std::vector<const LogLine *> all;
    for (const char *event : {"job refused", "request refused", "key unknown"}) {
        const auto found = ownLines(timeline, event);
        all.insert(all.end(), found.begin(), found.end());
    }
    std::sort(all.begin(), all.end(), [](const LogLine *a, const LogLine *b) {
        return a->time < b->time;
    });
    return all;
}

/** Stopped and ended attempts that cost time: "2 stopped as preempted, 1 ended as failed". */
std::string lossesOf(const Timeline &timeline)
{
    std::map<std::string, unsigned> losses;
    for (const auto *line : ownLines(timeline, "unit stopping")) {
        ++losses["stopped as " + line->field("reason")];
    }
    for (const auto *line : ownLines(timeline, "run ended")) {
        const std::string how = line->field("how");
        if (how == "failed" || how == "lapsed" || how == "alone") {
            ++losses["ended as " + how];
        }
    }
    for (const auto *line : ownLines(timeline, "run lost")) {
        ++losses["lost (" + line->field("why") + ")"];
    }
    std::string text;
    for (const auto &[loss, count] : losses) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + loss;
    }
    return text;
}

/** "1 answer", "2 answers". */
std::string counted(std::size_t count, const std::string &what)
{
    return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

std::string besideText(const LogLine &crash)
{
    const auto runs = crash.number("runs_on_executor");
    if (!runs) {
        return "";
    }
    // An agent tells of all runs since its last report was recorded, so that there may be some of an earlier crash among them.
    const auto others = static_cast<std::size_t>(std::max<std::int64_t>(*runs - 1, 0));
    return others == 0 ? " (with no other run there)" : " (with at most " + counted(others, "other run") + " there)";
}

std::string crashList(const std::vector<const LogLine *> &crashes, const std::string &task)
{
    std::string text;
    std::int64_t total = 0;
    for (const auto *crash : crashes) {
        text += text.empty() ? "" : ", ";
        text += crash->field("task") == task ? "" : "task " + crash->field("task") + ", ";
        text += "attempt " + crash->field("attempt") + " on " + crash->field("host") + besideText(*crash);
        total = crash->field("task") == task ? std::max(total, crash->number("crashes").value_or(0)) : total;
    }
    const auto told = static_cast<std::int64_t>(crashes.size());
    return text + (total > told ? "; of " + std::to_string(total) + " crashes, these logs tell of " + std::to_string(told) : "");
}

/** Whether executors crashed under the job, and what to do when it was given up for that. */
std::string crashText(const Timeline &timeline)
{
    const auto crashes = ownLines(timeline, "executor crashed under run");
    const auto ends = ownLines(timeline, "unit given up");
    if (ends.empty()) {
        return crashes.empty()
            ? ""
            : " Executors crashed under it, but it was not given up in these logs: " + crashList(crashes, crashes.front()->field("task")) + ".";
    }
    const std::string task = ends.back()->field("task");
    std::string text = " It was given up, as executors crashed under its task " + task + ": ";
    text += (crashes.empty() ? "no line tells which" : crashList(crashes, task)) + ". ";
    if (ends.back()->field("blame") == "sole") {
        return text
            + "Nothing else had just begun on the last of these executors, so the task itself is the likely cause. "
              "Don't submit it again before its program or input has been corrected: each start takes an executor down with all that runs there.";
    }
    return text
        + "Other work may be the cause of the last of these crashes, or the hosts. "
          "Look for jobs with 'executor crashed under run' on the same hosts at these times; one that was there each time is the more likely cause.";
}

std::string policyText(const LogLine &policy)
{
    return "version " + policy.field("version") + " in force, " + policy.field("queues") + " queues, "
        + (policy.field("bytes").empty() ? "size not logged" : policy.field("bytes") + " bytes");
}

/** The newest policy in force by then at that member, or at any other. */
const LogLine *policyAt(const Timeline &timeline, const std::string &member, bool isMember, LogTime until)
{
    const LogLine *newest = nullptr;
    for (const auto &line : timeline.lines) {
        const bool isCandidate = line.event == "policy in force" && line.time <= until && (line.field("member") == member) == isMember;
        if (isCandidate && (newest == nullptr || line.number("revision") > newest->number("revision"))) {
            newest = &line;
        }
    }
    return newest;
}

/** The member's reads of the policy that failed: how many, and the longest with its reason; short ones may only follow from it. */
std::string failedReadsText(const Timeline &timeline, const std::string &member)
{
    std::size_t count = 0;
    std::string reason;
    std::optional<std::int64_t> longest;
    for (const auto &line : timeline.lines) {
        const bool isFailedRead = line.event == "policy watch ended" || line.event == "policy not confirmed" || line.event == "policy still not confirmed";
        if (isFailedRead && line.field("member") == member) {
            const auto took = line.number("took_ms");
            reason = count == 0 || took > longest ? line.field("reason") : reason;
            longest = std::max(longest, took);
            ++count;
        }
    }
    if (count == 0) {
        return "no failed read is logged there";
    }
    return counted(count, "failed read") + (count == 1 ? " is" : " are") + " logged there (" + reason + "; "
        + (longest ? "the longest took " + std::to_string(*longest) + " ms" : "their time is not logged") + ")";
}

std::string unconfirmedText(const Timeline &timeline)
{
    std::map<std::string, std::vector<const LogLine *>> refusals;
    std::size_t count = 0;
    for (const auto *line : ownLines(timeline, "request refused")) {
        if (line->field("reason") == "policy not confirmed") {
            refusals[line->field("member")].push_back(line);
            ++count;
        }
    }
    std::string text;
    for (const auto &[member, lines] : refusals) {
        const LogLine &last = *lines.back();
        const std::string age = last.field("age_ms") + " ms without a confirmation";
        text += text.empty() ? "" : ". ";
        text += member + (lines.size() == 1 ? " (once, after " : " (" + std::to_string(lines.size()) + " times, the last after ") + age + "): ";
        const auto *policy = policyAt(timeline, member, true, last.time);
        text += (policy == nullptr ? "no line tells of its policy" : policyText(*policy)) + "; " + failedReadsText(timeline, member);
        const auto *other = policyAt(timeline, member, false, last.time);
        if (other != nullptr && (policy == nullptr || other->number("revision") > policy->number("revision"))) {
            text += ". Meanwhile " + other->field("member") + " had " + policyText(*other);
        }
    }
    if (count == 0) {
        return "";
    }
    if (timeline.subject == Subject::Request) {
        return " The policy at its entry: " + text + ".";
    }
    return " " + counted(count, "request") + " about it " + (count == 1 ? "was" : "were") + " refused, as the entry's policy was not confirmed: " + text + ".";
}

/** Placements before which the leader let workspaces with a smaller share of service go ahead. */
std::string sharesText(const Timeline &timeline)
{
    std::size_t count = 0;
    const LogLine *last = nullptr;
    for (const auto *line : ownLines(timeline, "unit placed")) {
        if (line->field("passed_over") == "true") {
            ++count;
            last = line;
        }
    }
    if (last == nullptr) {
        return "";
    }
    return " " + counted(count, "placement")
        + " came after units of workspaces with a smaller share of service that would have come later otherwise: " + (count == 1 ? "" : "at the last, ")
        + last->field("workspace") + " had received " + last->field("share_percent") + " % of the service beyond guarantees.";
}

/** Answers that were ready but didn't reach their caller. */
std::string undeliveredText(const Timeline &timeline)
{
    std::string text;
    if (const auto late = ownLines(timeline, "answer late"); !late.empty()) {
        const LogLine &last = *late.back();
        text += " " + counted(late.size(), "answer") + " came after " + (late.size() == 1 ? "its caller" : "their callers")
            + " had given up: " + (late.size() == 1 ? "" : "the last, ") + last.field("call") + " by " + last.field("member") + " after "
            + last.field("took_ms") + " ms, " + last.field("late_ms") + " ms late.";
    }
    if (const auto undelivered = ownLines(timeline, "answer not delivered"); !undelivered.empty()) {
        const LogLine &last = *undelivered.back();
        text += " " + counted(undelivered.size(), "answer") + " could not be delivered: " + (undelivered.size() == 1 ? "" : "the last, ") + last.field("status")
            + " by " + last.field("member") + " (" + last.field("reason") + ").";
    }
    std::map<std::string, std::size_t> rejections;
    for (const auto &line : timeline.lines) {
        if (line.event == "connection rejected") {
            ++rejections[line.field("member")];
        }
    }
    for (const auto &[member, count] : rejections) {
        text += " " + member + " rejected " + (count == 1 ? "a connection" : std::to_string(count) + " connections") + " meanwhile, as its limit was reached.";
    }
    return text;
}

std::vector<Phase> phasesOf(const Timeline &timeline, const LogLine &accepted)
{
    std::vector<Phase> phases;
    LogTime from = accepted.time;
    const auto add = [&](const std::string &name, const std::vector<const LogLine *> &ends, bool isLast, std::string cause) {
        if (!ends.empty()) {
            const LogTime to = std::max(from, (isLast ? ends.back() : ends.front())->time);
            phases.push_back({name, from, to, cause.empty() ? between(timeline, from, to) : std::move(cause)});
            from = to;
        }
    };
    add("until the scheduler knew of it", ownLines(timeline, "job known"), false, "");
    add("until it was placed", ownLines(timeline, "unit placed"), false, "");
    add("until it was started", ownLines(timeline, "run started"), false, "");
    add("until it had ended", ownLines(timeline, "job ended"), true, lossesOf(timeline));
    return phases;
}

std::string acceptedText(const Timeline &timeline, const LogLine &accepted)
{
    const auto ends = ownLines(timeline, "job ended");
    const auto phases = phasesOf(timeline, accepted);
    std::string text = timeline.id + " was accepted by " + accepted.field("member");
    text += ends.empty() ? " and has no end in these logs"
                         : " and ended as " + ends.back()->field("status") + " " + milliseconds(ends.back()->time - accepted.time) + " later";
    const auto longest = std::max_element(phases.begin(), phases.end(), [](const Phase &a, const Phase &b) {
        return a.length() < b.length();
    });
    if (longest != phases.end()) {
        text += "; the longest part was " + milliseconds(longest->length()) + " " + longest->name;
        text += longest->cause.empty() ? "" : " (" + longest->cause + ")";
    } else {
        text += "; no scheduler has told of it";
        const std::string meanwhile = between(timeline, accepted.time, timeline.lines.back().time);
        text += meanwhile.empty() ? "" : " (" + meanwhile + ")";
    }
    return text + ".";
}

/** The newest change of belief with that event at a member by then; null if there is none. */
const LogLine *beliefAt(const Timeline &timeline, const std::string &event, const std::string &member, LogTime until)
{
    const LogLine *newest = nullptr;
    for (const auto &line : timeline.lines) {
        if (line.event == event && line.field("member") == member && line.time <= until) {
            newest = &line;
        }
    }
    return newest;
}

/** How long the entry had been stopping when it wrote the line; empty if it was not. */
std::string stopText(const Timeline &timeline, const LogLine &line)
{
    const auto *stopping = beliefAt(timeline, "daemon stopping", line.field("member"), line.time);
    const auto *starting = beliefAt(timeline, "daemon starting", line.field("member"), line.time);
    if (stopping == nullptr || (starting != nullptr && starting->time > stopping->time)) {
        return "";
    }
    return " The entry had been stopping for " + milliseconds(line.time - stopping->time) + " then.";
}

/** Why the entry could not count waiting jobs, if that is so by then. */
std::string uncountedText(const Timeline &timeline, const LogLine &line)
{
    const auto *uncounted = beliefAt(timeline, "waiting jobs not counted", line.field("member"), line.time);
    const auto *counted = beliefAt(timeline, "waiting jobs counted again", line.field("member"), line.time);
    if (uncounted == nullptr || (counted != nullptr && counted->time > uncounted->time)) {
        return "";
    }
    const std::string leader = uncounted->field("leader");
    return " It could not count waiting jobs since " + milliseconds(line.time - uncounted->time)
        + " before: " + (leader.empty() ? "" : "leader " + leader + ": ") + uncounted->field("reason") + ".";
}

std::string cutText(const Timeline &timeline, const LogLine &cut)
{
    const std::string &member = cut.field("member");
    std::string text = timeline.id + " (" + cut.field("call") + " " + cut.field("path") + ") was still at work at " + member + " when its drain ended, after "
        + cut.field("age_ms") + " ms; its caller had " + cut.field("left_ms") + " ms left.";
    if (beliefAt(timeline, "connection cut", member, cut.time) != nullptr) {
        text += " A connection with a request for that path was closed without an answer.";
    } else if (beliefAt(timeline, "request abandoned", member, cut.time) != nullptr) {
        text += " The answer was that the entry is stopping.";
    }
    return text + (cut.field("call") == "pending" ? uncountedText(timeline, cut) : "");
}

std::string countRefusedText(const LogLine &refusal)
{
    const std::string &leader = refusal.field("leader");
    return "was refused by " + refusal.field("member") + " after " + refusal.field("took_ms") + " ms, as no leader that counts waiting jobs was reachable: "
        + (leader.empty() ? "" : "it last asked " + leader + ": ") + refusal.field("reason") + ".";
}

/** What the last line about a request says of its fate. */
std::string decisionText(const Timeline &timeline, const LogLine &last)
{
    if (last.event == "call cut") {
        return cutText(timeline, last);
    }
    if (last.event == "count refused") {
        return timeline.id + " (" + last.field("path") + ") " + countRefusedText(last);
    }
    if (last.event == "answer late") {
        const auto refusals = ownLines(timeline, "count refused");
        return timeline.id + " was answered (" + last.field("outcome") + "), but too late"
            + (refusals.empty() ? "." : ": it " + countRefusedText(*refusals.back()));
    }
    if (const auto refusals = refusalsOf(timeline); !refusals.empty() && refusals.back() == &last) {
        return refusalText(timeline, refusals);
    }
    return timeline.id + " was answered by " + last.field("member") + ": " + last.event + " (" + last.field("why") + ").";
}

/** What decided a request. An earlier line with its id is of another try, or of the same decision. */
std::string requestVerdict(const Timeline &timeline)
{
    const LogLine *last = nullptr;
    std::size_t count = 0;
    std::set<std::string> jobs;
    for (const auto &line : timeline.lines) {
        if (isOwn(timeline, line)) {
            last = &line;
            ++count;
            jobs.insert(line.field("job"));
        }
    }
    if (last == nullptr) {
        return "No line tells of " + timeline.id + ".";
    }
    std::string text = decisionText(timeline, *last) + stopText(timeline, *last) + unconfirmedText(timeline) + undeliveredText(timeline);
    text += count == 1 ? "" : " " + std::to_string(count) + " lines name it; this is about the last.";
    jobs.erase("");
    for (const auto &job : jobs) {
        text += " It is about job " + job + ": go on with `plantainfork explain " + job + "`.";
    }
    return text;
}

/** Placements on hosts that were classified as slow, and preemptions that spared it these. */
std::string slowHostsText(const Timeline &timeline)
{
    std::string text;
    for (const auto *line : ownLines(timeline, "slow hosts avoided")) {
        const auto units = static_cast<std::size_t>(line->number("preempted_units").value_or(0));
        text += " " + line->field("unit") + " preempted " + counted(units, "unit") + " rather than run on free hosts on which runs take "
            + line->field("factor") + " times as long.";
    }
    for (const auto *line : ownLines(timeline, "unit placed")) {
        if (!line->field("slow_hosts").empty()) {
            text += " Attempt " + line->field("attempt") + " of " + line->field("unit") + " was placed on hosts known to be slow: " + line->field("slow_hosts")
                + ".";
        }
    }
    return text;
}

} // namespace

std::string verdict(const Timeline &timeline)
{
    if (timeline.subject == Subject::Request) {
        return requestVerdict(timeline);
    }
    const auto accepted = ownLines(timeline, "job accepted");
    const auto unclear = ownLines(timeline, "job unclear");
    const auto refusals = refusalsOf(timeline);
    std::string text;
    if (!unclear.empty()) {
        text = std::to_string(unclear.size()) + " answers left it open whether it was accepted: " + unclear.front()->field("why") + ". ";
        if (!accepted.empty() && accepted.front()->time < unclear.front()->time) {
            text += "It had been accepted before. ";
        } else if (!accepted.empty()) {
            const bool wasWritten = accepted.front()->field("why") == "known already";
            text += wasWritten ? "The write had taken effect, as a repeat found the job known. " : "The write had not taken effect; a repeat made it. ";
        }
    }
    if (!accepted.empty()) {
        text += acceptedText(timeline, *accepted.front());
    } else if (!refusals.empty()) {
        text += refusalText(timeline, refusals);
    } else {
        text += timeline.lines.empty() ? "No line tells of " + timeline.id + "." : "No entry's answer for " + timeline.id + " is in these logs.";
    }
    return text + sharesText(timeline) + lostRunsText(timeline) + slowHostsText(timeline) + crashText(timeline) + unconfirmedText(timeline)
        + undeliveredText(timeline);
}

} // namespace plantainfork::explain
