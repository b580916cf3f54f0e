/**
 * Durable claim on a non-idempotent request: the agent and incarnation that may run it. Written to the platform's
 * store before the request is dispatched, so that a repeated submission through any entry finds it.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "base/ids.h"
#include "requests/attempt_table.h"
#include "wire/member_messages.h"

namespace plantainfork::requests
{

struct Claim {
    base::MemberId agent;
    base::Incarnation agentIncarnation;
    wire::Address rpc;
    /** Random. Lets the writer recognize its own claim after the store's answer to the write was lost. */
    std::uint64_t nonce = 0;
    /** Unix time at which the claim was created, from the writer's wall clock. */
    std::int64_t createdMs = 0;

    bool operator==(const Claim &) const = default;
    MSGPACK_DEFINE_MAP(agent, agentIncarnation, rpc, nonce, createdMs);
};

constexpr unsigned ClaimShards = 256;

/** Key prefix of the claims in a shard, from 0 to ClaimShards - 1. */
std::string claimPrefix(unsigned shard);
/** Store key of a request's claim. Different requests have different keys. */
std::string claimKey(const RequestKey &key);

/** Wall clock time since the Unix epoch. Used for claim ages, which are measured in hours and compared across hosts. */
std::chrono::milliseconds unixNow();

} // namespace plantainfork::requests
