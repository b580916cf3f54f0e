#include "explain/lost_runs.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace plantainfork::explain
{

namespace
{

/** The reasons of "run lost" as the leader writes them; the third is for silence. */
constexpr const char *Restarted = "executor restarted";
constexpr const char *Left = "host left";

/** Fields in which "run lost" lines of runs that were given up together agree: an incarnation of a host's executor, and the reason. */
constexpr std::array<const char *, 4> SharedFields{"host", "instance", "born", "why"};

/** Runs that were given up together. */
struct LostRuns {
    /** The line of the first of them. */
    const LogLine *first;
    /** The first later attempt of that run's task. */
    const LogLine *next;
    std::size_t count;
};

/** What the agent's lines tell of the incarnation that the lost runs were on. */
struct AgentView {
    /** It took another incarnation for the executor's. */
    const LogLine *replaced = nullptr;
    /** The other incarnation answered it. */
    const LogLine *replacementReached = nullptr;
    /** It came back to the incarnation after that. */
    const LogLine *restored = nullptr;
    /** It had taken the incarnation for the executor's in place of another one, and kept it. */
    const LogLine *taken = nullptr;
    const LogLine *crashed = nullptr;
    const LogLine *goodbye = nullptr;
    const LogLine *left = nullptr;
    const LogLine *notConfirmed = nullptr;
    const LogLine *notReached = nullptr;
    /** Last answer of the executor that came after the loss or after it was said to have left. */
    const LogLine *reached = nullptr;
    std::size_t foreignAnnouncements = 0;
};

std::string incarnationText(const LogLine &line)
{
    return line.field("instance") + " born " + line.field("born");
}

std::string knownText(const LogLine &line)
{
    return line.field("known_instance") + " born " + line.field("known_born");
}

std::string since(const LogLine &earlier, const LogLine &later)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(later.time - earlier.time).count()) + " ms";
}

bool isSameRun(const LogLine &line, const LogLine &lost)
{
    return line.field("task") == lost.field("task") && line.field("attempt") == lost.field("attempt");
}

/** The earliest start of a later attempt; where no agent tells of one, its placement. */
const LogLine *nextAttempt(const Timeline &timeline, const LogLine &lost)
{
    for (const auto &[event, name] : {std::pair("run started", "task"), std::pair("unit placed", "unit")}) {
        for (const auto *line : ownLines(timeline, event)) {
            if (line->field(name) == lost.field("task") && line->number("attempt") > lost.number("attempt")) {
                return line;
            }
        }
    }
    return nullptr;
}

std::vector<LostRuns> lostRuns(const Timeline &timeline)
{
    std::vector<LostRuns> groups;
    for (const auto *lost : ownLines(timeline, "run lost")) {
        const auto *next = lost->number("attempt") ? nextAttempt(timeline, *lost) : nullptr;
        if (next == nullptr) {
            continue;
        }
        const auto group = std::find_if(groups.begin(), groups.end(), [&](const LostRuns &runs) {
            return std::all_of(SharedFields.begin(), SharedFields.end(), [&](const char *name) {
                return runs.first->field(name) == lost->field(name);
            });
        });
        if (group != groups.end()) {
            ++group->count;
        } else {
            groups.push_back({lost, next, 1});
        }
    }
    return groups;
}

/** The leader's last line of that event about the lost run's host, up to the loss. */
const LogLine *leaderLine(const Timeline &timeline, const std::string &event, const LogLine &lost)
{
    const LogLine *found = nullptr;
    for (const auto &line : timeline.lines) {
        const bool isAboutHost = line.field("member") == lost.field("member") && line.field("host") == lost.field("host");
        if (line.event == event && isAboutHost && line.time <= lost.time) {
            found = &line;
        }
    }
    return found;
}

/** `told`: the incarnation that the leader was told of, if any. */
void applyKnown(AgentView &view, const LogLine &line, const std::string &incarnation, const std::string &told)
{
    const std::string present = incarnationText(line);
    const bool isFirst = line.field("known_instance").empty();
    if (present == incarnation) {
        (view.replaced != nullptr ? view.restored : view.taken) = &line;
    } else if (view.replaced == nullptr && (isFirst ? present == told : knownText(line) == incarnation)) {
        view.replaced = &line;
    }
}

/** All lines come from one host, so that its clock orders them; only a comparison with the time of the loss is across machines. */
AgentView agentView(const Timeline &timeline, const LogLine &lost)
{
    AgentView view;
    const std::string incarnation = incarnationText(lost);
    const auto *told = leaderLine(timeline, "executor of host new", lost);
    std::string known = incarnation;
    for (const auto &line : timeline.lines) {
        if (line.field("member") != lost.field("host")) {
            continue;
        }
        const bool isOfInstance = line.field("instance") == lost.field("instance") && known == incarnation;
        if (line.event == "executor known") {
            applyKnown(view, line, incarnation, told != nullptr ? incarnationText(*told) : "");
            known = incarnationText(line);
        } else if (line.event == "executor crashed" && isOfInstance) {
            view.crashed = &line;
        } else if (line.event == "executor says goodbye" && isOfInstance) {
            view.goodbye = &line;
        } else if (line.event == "executor left" && isOfInstance) {
            view.left = &line;
        } else if (line.event == "goodbye not confirmed" && isOfInstance && view.left != nullptr) {
            view.notConfirmed = &line;
        } else if (line.event == "executor reached" && isOfInstance && (view.left != nullptr || line.time > lost.time)) {
            view.reached = &line;
        } else if (line.event == "executor reached" && view.replaced != nullptr && known == incarnationText(*view.replaced)) {
            view.replacementReached = &line;
        } else if (line.event == "executor not reached" && line.time <= lost.time) {
            view.notReached = &line;
        } else if (line.event == "announcement of another writer" || line.event == "announced incarnation not confirmed") {
            ++view.foreignAnnouncements;
        }
    }
    return view;
}

std::string restartText(const Timeline &timeline, const LogLine &lost, const AgentView &view)
{
    const auto *told = leaderLine(timeline, "executor of host new", lost);
    std::string text;
    if (told == nullptr) {
        text = "No line of the leader's tells which incarnation it was told of.";
    } else {
        const bool isFirstReport = told->field("known_instance").empty();
        text = "The leader knew " + (isFirstReport ? "no executor there yet" : knownText(*told)) + " and was told of " + incarnationText(*told) + " by call "
            + told->field("call") + " of the agent's process " + told->field("agent") + " (list_token=" + told->field("list_token")
            + ", crashed_runs=" + told->field("crashed_runs") + ").";
    }
    if (view.replaced == nullptr) {
        return text + " No line of the agent's tells that it took another incarnation for " + incarnationText(lost) + ".";
    }
    text += " The agent wrote 'executor known' for " + incarnationText(*view.replaced) + ", ";
    text += view.replaced->field("known_instance").empty() ? "the first that its process knew"
                                                           : view.replaced->field("reached_ago_ms") + " ms after its executor had last answered";
    text += view.crashed != nullptr ? ", and 'executor crashed'." : ".";
    return text + (view.replacementReached != nullptr ? " That incarnation has answered it." : " No line tells that that incarnation has answered it.");
}

std::string leaveText(const Timeline &timeline, const LogLine &lost, const AgentView &view)
{
    const auto *told = leaderLine(timeline, "executor left its host", lost);
    std::string text = told == nullptr ? "No line of the leader's tells when it was told so."
                                       : "The leader was told that " + told->field("instance") + " had left " + since(*told, lost) + " before.";
    if (view.goodbye != nullptr) {
        text += " The agent wrote 'executor says goodbye', " + view.goodbye->field("reached_ago_ms") + " ms after its executor had last answered.";
    }
    if (view.left == nullptr) {
        return text + " No line of the agent's tells that its executor left.";
    }
    return text + " The agent wrote 'executor left'"
        + (view.left->field("reason").empty() ? "." : " " + view.left->field("goodbye_age_ms") + " ms after the goodbye (" + view.left->field("reason") + ").");
}

std::string silenceText(const Timeline &timeline, const LogLine &lost, const AgentView &view)
{
    const auto *told = leaderLine(timeline, "executor not reached by its agent", lost);
    std::string text = told == nullptr ? "The leader has no 'executor not reached by its agent' before, so it had heard nothing of the agent itself."
                                       : "The agent had told the leader " + since(*told, lost) + " before that it didn't reach its executor, last heard of "
            + told->field("heard_ms") + " ms before that.";
    if (view.notReached != nullptr) {
        text += " The agent wrote 'executor not reached' (" + view.notReached->field("reason") + ").";
    }
    return text;
}

/** Lines that show the lost run itself after its loss. */
std::string runSigns(const Timeline &timeline, const LogLine &lost)
{
    std::string text;
    const auto add = [&](const std::string &sign) {
        text += (text.empty() ? "" : "; ") + sign;
    };
    for (const auto *line : ownLines(timeline, "run unknown, to be stopped")) {
        if (line->field("task") == lost.field("task") && line->field("host") == lost.field("host") && line->time >= lost.time) {
            add("its host listed a run of the task that the leader had given up ('run unknown, to be stopped', " + since(lost, *line) + " later)");
        }
    }
    for (const auto *line : ownLines(timeline, "run started")) {
        if (isSameRun(*line, lost) && line->field("member") == lost.field("host") && line->time > lost.time) {
            add("its agent wrote 'run started' for it " + since(lost, *line) + " later by the clocks of the two machines");
        }
    }
    for (const auto *line : ownLines(timeline, "late end counted")) {
        if (isSameRun(*line, lost)) {
            add("it ended as " + line->field("how") + " ('late end counted', " + since(lost, *line) + " later)");
        }
    }
    return text;
}

/** Lines that show its executor alive, as the same incarnation, after it was believed to be gone. */
std::string executorSigns(const AgentView &view)
{
    std::string text;
    const auto add = [&](const LogLine *line, const std::string &sign) {
        if (line != nullptr) {
            text += (text.empty() ? "" : "; ") + sign;
        }
    };
    add(view.restored, "the agent came back to the earlier incarnation ('executor known')");
    add(view.notConfirmed, "the executor answered after it was said to have left ('goodbye not confirmed')");
    add(view.reached, "the agent reached the same incarnation again ('executor reached')");
    return text;
}

std::string nextSteps(const Timeline &timeline, const LogLine &lost, const AgentView &view, bool isAlive)
{
    const std::string host = lost.field("host");
    const std::string why = lost.field("why");
    const std::string record = "the executor's own record on " + host + " tells when attempt " + lost.field("attempt") + " ended";
    if (why == Restarted) {
        const auto *told = leaderLine(timeline, "executor of host new", lost);
        if (told != nullptr && view.replaced == nullptr) {
            const bool isOutdated = view.taken != nullptr && knownText(*view.taken) == incarnationText(*told);
            return (isOutdated ? "the agent had left " + incarnationText(*told) + " for " + incarnationText(lost) + " before, so the call had been delayed"
                               : "look for 'executor known' with that incarnation in the log of " + host + "; if it has none, the call was delayed")
                + ": compare list_token with 'office taken' at " + lost.field("member") + "; " + record + ".";
        }
        return isAlive || view.replacementReached == nullptr ? "find out who announced the other incarnation to " + host
                + ": another writer, or an announcement that was delayed (refused there in these logs: " + std::to_string(view.foreignAnnouncements) + "); "
                + record + "."
                                                             : record + ".";
    }
    if (why == Left) {
        return isAlive ? "find out who sent the goodbye to " + host + ": another writer, or a goodbye that was delayed; " + record + "." : record + ".";
    }
    return record + ", to be compared with the time of the loss; look for a pause of the agent or of the leader ('leader load' at " + lost.field("member")
        + "), and for a slow clock of " + host + ".";
}

std::string lostText(const Timeline &timeline, const LostRuns &runs)
{
    const LogLine &lost = *runs.first;
    const auto view = agentView(timeline, lost);
    const std::string why = lost.field("why");
    std::string text = " Attempt " + lost.field("attempt") + " of task " + lost.field("task")
        + (runs.count > 1 ? " (and " + std::to_string(runs.count - 1) + " more of its runs there)" : "") + " was given up by " + lost.field("member")
        + " as lost on " + lost.field("host") + ", " + incarnationText(lost) + " (" + why + "), and attempt " + runs.next->field("attempt") + " was "
        + (runs.next->event == "run started" ? "started on " + runs.next->field("member") : "placed on " + runs.next->field("hosts")) + ". ";
    text += why == Restarted ? restartText(timeline, lost, view) : why == Left ? leaveText(timeline, lost, view) : silenceText(timeline, lost, view);
    const auto ofRun = runSigns(timeline, lost);
    const auto ofExecutor = executorSigns(view);
    if (!ofRun.empty()) {
        text += " The earlier attempt went on: " + ofRun + (ofExecutor.empty() ? "." : "; " + ofExecutor + ".");
    } else if (!ofExecutor.empty()) {
        text += " The earlier attempt may have gone on until its executor's lease ended: " + ofExecutor + ".";
    } else {
        text += " No line shows that the earlier attempt went on.";
    }
    return text + " Next: " + nextSteps(timeline, lost, view, !ofRun.empty() || !ofExecutor.empty());
}

} // namespace

std::string lostRunsText(const Timeline &timeline)
{
    std::string text;
    for (const auto &runs : lostRuns(timeline)) {
        text += lostText(timeline, runs);
    }
    return text;
}

} // namespace plantainfork::explain
