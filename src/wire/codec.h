/**
 * Encoding of messages between daemons: msgpack maps keyed by member name, so that a daemon ignores
 * members it doesn't know and keeps the default of those it doesn't receive.
 */
#pragma once

#include <concepts>
#include <exception>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "wire/declared_size.h"

namespace plantainfork::wire
{

/** Version of the messages below; a call that carries another major version is refused. */
constexpr unsigned ProtocolVersion = 1;

/** A message that asks for a Reply under a method name. */
template<typename T>
concept Call = requires
{
    typename T::Reply;
    {
        T::Method
        } -> std::convertible_to<std::string_view>;
};

template<typename Message>
std::string encode(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/** Fails with InvalidArgument, naming the message, on bytes that aren't one whole message of this type. */
template<typename Message>
absl::StatusOr<Message> decode(std::string_view bytes)
{
    if (!isDeclaredSizeSound(bytes)) {
        return absl::InvalidArgumentError("message is cut off, too deep or declares more elements than it has bytes");
    }
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset);
        if (offset != bytes.size()) {
            return absl::InvalidArgumentError("message has " + std::to_string(bytes.size() - offset) + " bytes too many");
        }
        return handle.get().as<Message>();
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(std::string("message does not decode: ") + error.what());
    }
}

} // namespace plantainfork::wire
