/** Exit codes of the tool, so that a script can tell what happened. docs/OPERATIONS.md lists them. */
#pragma once

namespace plantainfork::ctl
{

enum class ExitCode {
    /** Done, or accepted and in force everywhere. */
    Done = 0,
    /** The answer is no: findings, not found, can never run, or the service answered with an error. */
    Refused = 1,
    /** The command line is wrong. */
    Usage = 2,
    /** Another change came first; the winner is printed. */
    Conflict = 3,
    /** Proven not run or not accepted; the same command may be repeated. */
    NotRun = 4,
    /** It may have taken effect; repeat with the id that is printed. */
    Unknown = 5,
    /** Accepted, but not known to be in force everywhere within --wait. */
    NotYetInForce = 6,
};

} // namespace plantainfork::ctl
