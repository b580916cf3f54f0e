/** One change of an operator's value: sent, told apart as accepted, conflicting, refused or unknown, then followed until it is in force. */
#pragma once

#include <optional>
#include <string>

#include "ctl/document.h"
#include "ctl/session.h"

namespace plantainfork::ctl
{

struct Change {
    /** PUT or DELETE. */
    std::string method;
    std::string target;
    /** Accepted only while the value still has this revision. */
    std::optional<base::Revision> ifMatch;
    /** The new value, for PUT. */
    Document document;
};

/** The change carries the invocation's change id, so that it may be repeated at another entry without taking effect twice. */
ExitCode makeChange(const Session &session, const Change &change);

} // namespace plantainfork::ctl
