/**
 * Reduces the events of a watch to what has become of each key. Followers apply removals and writes as two lists, so a key that was written and
 * removed again between two answers of a slow store must not be in both.
 */
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "store/key_value.h"

namespace plantainfork::store
{

class ChangeCollector
{
public:
    /** Events are added in the order in which they happened. */
    void addWrite(KeyValue entry)
    {
        std::string key = entry.key;
        m_last[std::move(key)] = std::move(entry);
    }
    void addRemoval(std::string key)
    {
        m_last[std::move(key)] = std::nullopt;
    }

    /** `index`: where the next call continues. Entries come in the order of their last writes. */
    [[nodiscard]] Changes take(Index index) &&
    {
        Changes changes;
        changes.index = index;
        for (auto &[key, entry] : m_last) {
            if (entry) {
                changes.written.push_back(std::move(*entry));
            } else {
                changes.removed.push_back(key);
            }
        }
        std::sort(changes.written.begin(), changes.written.end(), [](const KeyValue &a, const KeyValue &b) {
            return a.modified < b.modified;
        });
        return changes;
    }

private:
    /** Each changed key with its present entry; nothing if it has been removed. */
    std::map<std::string, std::optional<KeyValue>> m_last;
};

} // namespace plantainfork::store
