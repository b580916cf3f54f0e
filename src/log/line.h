/** The text of one log line, apart from its time: key=value fields that a shell or a log store can split. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "log/log.h"

namespace plantainfork::log
{

/** "debug", "info", "warning" or "error". */
std::string_view severityName(Severity severity);

/**
 * A value as it stands in a line: quoted when it is empty or holds spaces, quotes, '=' or control characters, with those escaped, so
 * that no input can forge a field or a second line.
 */
std::string quoteValue(std::string_view value);

/** severity=... event="..." then the common fields, then the line's own. */
std::string formatLine(Severity severity, std::string_view event, const std::vector<Field> &common, const std::vector<Field> &fields);

} // namespace plantainfork::log
