#include "explain/verdict.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

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

/** The lines of the job's own with that event. */
std::vector<const LogLine *> own(const Timeline &timeline, const std::string &event)
{
    std::vector<const LogLine *> found;
    for (const auto &line : timeline.lines) {
        if (line.event == event && line.field("job") == timeline.job) {
            found.push_back(&line);
        }
    }
    return found;
}

/** Events of others between two times, each with its number. */
std::string between(const Timeline &timeline, LogTime from, LogTime to)
{
    std::map<std::string, unsigned> events;
    for (const auto &line : timeline.lines) {
        if (line.field("job") != timeline.job && line.time >= from && line.time <= to) {
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
    std::string text = timeline.job + " was refused by " + last.field("member") + ": " + (reason.empty() ? last.event : reason);
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
        const auto found = own(timeline, event);
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
    for (const auto *line : own(timeline, "unit stopping")) {
        ++losses["stopped as " + line->field("reason")];
    }
    for (const auto *line : own(timeline, "run ended")) {
        const std::string how = line->field("how");
        if (how == "failed" || how == "lapsed" || how == "alone") {
            ++losses["ended as " + how];
        }
    }
    for (const auto *line : own(timeline, "run lost")) {
        ++losses["lost (" + line->field("why") + ")"];
    }
    std::string text;
    for (const auto &[loss, count] : losses) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + loss;
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
    add("until the scheduler knew of it", own(timeline, "job known"), false, "");
    add("until it was placed", own(timeline, "unit placed"), false, "");
    add("until it was started", own(timeline, "run started"), false, "");
    add("until it had ended", own(timeline, "job ended"), true, lossesOf(timeline));
    return phases;
}

std::string acceptedText(const Timeline &timeline, const LogLine &accepted)
{
    const auto ends = own(timeline, "job ended");
    const auto phases = phasesOf(timeline, accepted);
    std::string text = timeline.job + " was accepted by " + accepted.field("member");
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

} // namespace

std::string verdict(const Timeline &timeline)
{
    const auto accepted = own(timeline, "job accepted");
    const auto unclear = own(timeline, "job unclear");
    const auto refusals = refusalsOf(timeline);
    std::string text;
    if (!unclear.empty()) {
        text = std::to_string(unclear.size()) + " answers left it open whether it was accepted: " + unclear.front()->field("why") + ". ";
        if (!accepted.empty()) {
            const bool wasWritten = accepted.front()->field("why") == "known already";
            text += wasWritten ? "The write had taken effect, as a repeat found the job known. " : "The write had not taken effect; a repeat made it. ";
        }
    }
    if (!accepted.empty()) {
        return text + acceptedText(timeline, *accepted.front());
    }
    if (!refusals.empty()) {
        return text + refusalText(timeline, refusals);
    }
    return text + (timeline.lines.empty() ? "No line tells of " + timeline.job + "." : "No entry's answer for " + timeline.job + " is in these logs.");
}

} // namespace plantainfork::explain
