#include "ctl/invocation.h"

namespace plantainfork::ctl
{

std::string_view usageText()
{
    return R"(plantainfork: operates a plantainfork fleet and uses it.

Usage:
  plantainfork template set NAME [FILE] [--set=KEY=VALUE]... [--entry=ADDRESS]... [options]
  plantainfork template (show | remove) NAME [--entry=ADDRESS]... [options]
  plantainfork template list [--entry=ADDRESS]... [options]
  plantainfork workspace set NAME [FILE] [--set=KEY=VALUE]... [--entry=ADDRESS]... [options]
  plantainfork workspace (show | remove) NAME [--entry=ADDRESS]... [options]
  plantainfork workspace list [--entry=ADDRESS]... [options]
  plantainfork datacentre (in | out) NAME [--entry=ADDRESS]... [options]
  plantainfork datacentre (show | remove) NAME [--entry=ADDRESS]... [options]
  plantainfork datacentre list [--entry=ADDRESS]... [options]
  plantainfork job submit WORKSPACE TEMPLATE RUNTIME [--set=KEY=VALUE]... [--entry=ADDRESS]... [options]
  plantainfork job (show | explain | cancel) ID [--entry=ADDRESS]... [options]
  plantainfork job list [WORKSPACE] [--entry=ADDRESS]... [options]
  plantainfork request WORKSPACE TEMPLATE SERVICE [PATH] [--entry=ADDRESS]... [options]
  plantainfork (capacity | members | status) [--entry=ADDRESS]... [options]
  plantainfork config history [--entry=ADDRESS]... [options]
  plantainfork config diff FROM [TO] [--entry=ADDRESS]... [options]
  plantainfork explain ID --logs FILE...
  plantainfork check FILE...
  plantainfork --help
  plantainfork --version

Commands:
  template, workspace   Read and change what operators set. FILE is TOML (*.toml) or JSON, "-" for JSON on
                        standard input; without FILE the stored value is changed by --set.
  datacentre out, in    Take a data centre out of service, bring it back.
  job, request          Submit a job; call a service and print its answer.
  capacity              Draw who uses which accelerators.
  members, status       List the daemons; show the revision in force in each data centre and who lags.
  config                List changes; compare two revisions.
  explain               Tell from the daemons' logs what became of a job or a caller's request of the batch
                        service, and why; "~" marks changes of belief meanwhile.
  check                 Validate daemon settings files; all findings as FILE:LINE:COLUMN.

Options:
  -e, --entry=ADDRESS   An entry, IP:PORT; may be repeated. The others are tried only when that is safe.
                        Default: PLANTAINFORK_ENTRIES, separated by commas.
  --json                Print the entry's JSON.
  --timeout=DURATION    Bound on each call, over all entries tried [default: 10s].
  --wait=DURATION       How long to wait for a change to be in force everywhere; 0s to return once it is
                        accepted [default: 5s].
  --set=KEY=VALUE       Change one field, for example urgency=urgent or shape.members=4;
                        of a job: shape.members=2.
  --change-id=ID        Repeat an earlier change whose outcome is unknown.
  --if-match=REVISION   Only change a value that still has this revision.
  --region=REGION       Region of a data centre that isn't configured yet.
  --deadline=DURATION   When the job or request is wanted.
  --id=ID               Id of the job or request; a repeat under the same id is the same one.
  --logs                The files are logs of any number of daemons.
  --data=FILE           Body of the request, "-" for standard input.
  -h, --help            Print this text.
  --version             Print the version.

Durations are whole numbers with a unit: ms, s, m, h, d.

Exit codes:
  0  done, or accepted and in force everywhere
  1  refused: findings, not found, can never run, or the service answered with an error
  2  wrong command line
  3  conflict: another change came first
  4  proven not run or not accepted; the command may be repeated
  5  unknown: it may have taken effect; repeat with the id that is printed
  6  accepted, but not known to be in force everywhere within --wait
)";
}

} // namespace plantainfork::ctl
