/** Bodies of the operators' HTTP API. */
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.h"
#include "config/change.h"

namespace plantainfork::config
{

std::string acceptedJson(const Change &change);
std::string conflictJson(const std::optional<Change> &winner);
std::string findingsJson(const base::Findings &findings);
std::string errorJson(const std::string &reason);
std::string historyJson(const std::vector<Change> &changes);
/** Nothing when there is no such value. */
std::optional<std::string> itemJson(const wire::Config &config, Collection collection, const std::string &name);
std::string itemsJson(const wire::Config &config, Collection collection);

/** The value as toJson() writes it, so that equal values compare equal as text. */
std::variant<std::string, base::Findings> canonicalValue(Collection collection, const std::string &name, const std::string &text);

} // namespace plantainfork::config
