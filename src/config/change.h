/**
 * One accepted change of the operators' configuration, and the head of the store's order of changes. Every
 * change is written together with the head, so that all changes have one order.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "base/findings.h"
#include "base/ids.h"
#include "wire/config_messages.h"

namespace plantainfork::config
{

inline constexpr std::string_view ConfigPrefix = "plantainfork/config/";
inline constexpr std::string_view HeadKey = "plantainfork/config/head";
inline constexpr std::string_view HistoryPrefix = "plantainfork/config-history/";

/** Changes kept in the history's ring of keys. */
constexpr std::size_t HistoryLength = 256;
/** Newest changes that the head itself carries, so that a watch on the head alone follows the configuration. */
constexpr std::size_t HeadLength = 16;

enum class Collection {
    Templates,
    Workspaces,
    DataCentres,
};

/** "templates", "workspaces" or "datacentres". */
std::string_view collectionName(Collection collection);
std::optional<Collection> collectionFromName(std::string_view name);

struct Change {
    base::Revision revision;
    base::ChangeId id;
    Collection collection = Collection::Templates;
    std::string name;
    bool removed = false;
    /** The value as operators send it (JSON); empty when removed. */
    std::string value;
    /** Wall clock of the entry that made it, since the Unix epoch; for people only. */
    std::chrono::milliseconds wallTime{0};

    [[nodiscard]] std::string key() const;
};

struct Head {
    base::Revision revision;
    /** Oldest first; the last one has the head's revision. */
    std::vector<Change> changes;

    /** Appends a change and drops what exceeds HeadLength. */
    void append(Change change);
    /** Whether every change after the revision is among `changes`. */
    [[nodiscard]] bool covers(base::Revision from) const;
};

/** Key of the history's ring that a revision is written to. */
std::string historyKey(base::Revision revision);

std::string encode(const Change &change);
std::string encode(const Head &head);
/** Fail with Internal on text that isn't what encode() makes. */
absl::StatusOr<Change> decodeChange(const std::string &text);
absl::StatusOr<Head> decodeHead(const std::string &text);

/** Puts the change's value into the configuration unless it holds a newer one. Findings of a value that doesn't parse are returned. */
base::Findings apply(const Change &change, wire::Config &config);

} // namespace plantainfork::config
