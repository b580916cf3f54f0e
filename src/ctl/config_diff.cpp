#include "ctl/config_diff.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace plantainfork::ctl
{

namespace
{

/** JSON text of each field by its path. */
using Fields = std::map<std::string, std::string>;

base::Revision revisionOf(const Json &change)
{
    return base::Revision(static_cast<std::uint64_t>(fieldNumber(change, "revision")));
}

std::map<std::string, Json> replay(const Json &changes, base::Revision upTo)
{
    std::map<std::string, Json> values;
    for (const auto &change : changes) {
        if (revisionOf(change) > upTo) {
            break;
        }
        const auto path = fieldText(change, "collection") + "/" + fieldText(change, "name");
        if (fieldFlag(change, "removed")) {
            values.erase(path);
        } else {
            values[path] = fieldItems(change, "value");
        }
    }
    return values;
}

Fields flatten(const std::map<std::string, Json> &values)
{
    Fields fields;
    for (const auto &[path, value] : values) {
        const auto flat = value.flatten();
        for (const auto &[pointer, leaf] : flat.items()) {
            fields[path + pointer] = toText(leaf);
        }
    }
    return fields;
}

std::string find(const Fields &fields, const std::string &path)
{
    const auto found = fields.find(path);
    return found == fields.end() ? "" : found->second;
}

std::vector<FieldChange> compare(const Fields &before, const Fields &after)
{
    Fields paths = before;
    paths.insert(after.begin(), after.end());
    std::vector<FieldChange> changes;
    for (const auto &[path, text] : paths) {
        FieldChange change{path, find(before, path), find(after, path)};
        if (change.before != change.after) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

} // namespace

absl::StatusOr<std::vector<FieldChange>> diffConfig(const Json &history, base::Revision from, std::optional<base::Revision> to)
{
    const auto &changes = fieldItems(history, "changes");
    const auto oldest = changes.empty() ? base::Revision() : revisionOf(changes.front());
    const auto newest = changes.empty() ? base::Revision() : revisionOf(changes.back());
    const auto last = to.value_or(newest);
    if (from > last) {
        return absl::InvalidArgumentError("revision " + std::to_string(from.value()) + " comes after " + std::to_string(last.value()));
    }
    if (last > newest) {
        return absl::InvalidArgumentError("the newest revision is " + std::to_string(newest.value()));
    }
    if (oldest > base::Revision(1) && from < oldest) {
        return absl::InvalidArgumentError("the history begins at revision " + std::to_string(oldest.value()));
    }
    return compare(flatten(replay(changes, from)), flatten(replay(changes, last)));
}

std::string diffText(const std::vector<FieldChange> &changes)
{
    std::string text;
    for (const auto &change : changes) {
        if (!change.before.empty()) {
            text += "- " + change.path + ": " + change.before + "\n";
        }
        if (!change.after.empty()) {
            text += "+ " + change.path + ": " + change.after + "\n";
        }
    }
    return text.empty() ? "no change\n" : text;
}

std::string diffJson(const std::vector<FieldChange> &changes)
{
    Json list = Json::array();
    for (const auto &change : changes) {
        Json item{{"path", change.path}, {"before", nullptr}, {"after", nullptr}};
        if (!change.before.empty()) {
            item["before"] = Json::parse(change.before);
        }
        if (!change.after.empty()) {
            item["after"] = Json::parse(change.after);
        }
        list.push_back(std::move(item));
    }
    return toText(list);
}

} // namespace plantainfork::ctl
