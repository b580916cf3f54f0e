/** What changed in the operators' configuration between two revisions, field by field. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "base/ids.h"
#include "ctl/answer.h"

namespace plantainfork::ctl
{

struct FieldChange {
    /** Collection, name and field, such as "templates/nesting/shape/members". */
    std::string path;
    /** JSON text; empty when the field wasn't there. */
    std::string before;
    /** JSON text; empty when the field is gone. */
    std::string after;
};

/**
 * Replays `history` (the answer of GET /v1/config/history). `to` unset means the newest. Fails with InvalidArgument when `from`
 * comes after `to` or the history doesn't reach back to it.
 */
absl::StatusOr<std::vector<FieldChange>> diffConfig(const Json &history, base::Revision from, std::optional<base::Revision> to);

/** "- path: before" and "+ path: after" lines. */
std::string diffText(const std::vector<FieldChange> &changes);
std::string diffJson(const std::vector<FieldChange> &changes);

} // namespace plantainfork::ctl
