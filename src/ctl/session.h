/** What every command of the tool works with: the entries, what was asked for, and where output goes. */
#pragma once

#include <ostream>
#include <string>

#include "ctl/answer.h"
#include "ctl/entry_client.h"
#include "ctl/exit_code.h"
#include "ctl/invocation.h"

namespace plantainfork::ctl
{

struct Session {
    EntryClient &entries;
    const Invocation &invocation;
    /** Results. */
    std::ostream &output;
    /** Everything that explains why there is no result. */
    std::ostream &messages;
};

/** Reads from any entry. */
CallResult get(const Session &session, const std::string &target);

/** Prints why a call gave no result, and tells the exit code for it. `repeatHint` says how to repeat an unknown one. */
ExitCode reportNoResult(const Session &session, const CallResult &result, const std::string &repeatHint);

/** Whether the answer is a success (2xx). */
bool isSuccess(const CallResult &result);

/** Whether the entry's JSON is to be printed rather than text. */
bool wantsJson(const Session &session);

/** Writes an answer for people. */
using Writer = void (*)(std::ostream &stream, const Json &answer);

/** Reads a page and prints its JSON, or what the writer makes of it. */
ExitCode view(const Session &session, const std::string &target, Writer writer);

} // namespace plantainfork::ctl
