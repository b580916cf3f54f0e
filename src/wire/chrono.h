/** msgpack adaptors that carry std::chrono durations as integer counts of their own unit. */
#pragma once

#include <chrono>

#include <msgpack.hpp>

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template<typename Rep, typename Period>
    struct convert<std::chrono::duration<Rep, Period>> {
        const msgpack::object &operator()(const msgpack::object &object, std::chrono::duration<Rep, Period> &duration) const
        {
            duration = std::chrono::duration<Rep, Period>(object.as<Rep>());
            return object;
        }
    };

    template<typename Rep, typename Period>
    struct pack<std::chrono::duration<Rep, Period>> {
        template<typename Stream>
        packer<Stream> &operator()(packer<Stream> &packer, const std::chrono::duration<Rep, Period> &duration) const
        {
            return packer.pack(duration.count());
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
