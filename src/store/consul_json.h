/** JSON bodies of the Consul KV subset: what the service answers to reads and what it takes as a transaction. */
#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "store/key_value.h"

namespace plantainfork::store
{

/** Body of PUT /v1/txn. */
std::string encodeTransaction(const std::vector<Write> &writes);

/** Body of PUT /v1/session/create. */
std::string encodeSession(std::chrono::milliseconds life);

/** Body of a read: an array of entries with base64 values. Fails with Internal on anything else. */
absl::StatusOr<std::vector<KeyValue>> decodeEntries(const std::string &body);

/** Body of a transaction that was applied. The service leaves values out, so they are taken from the writes. */
absl::StatusOr<std::vector<KeyValue>> decodeWritten(const std::string &body, const std::vector<Write> &writes);

/** Body of PUT /v1/session/create's answer. */
absl::StatusOr<SessionId> decodeSession(const std::string &body);

} // namespace plantainfork::store
