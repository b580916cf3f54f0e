/**
 * Messages between daemons: the first byte picks the type, the rest is decoded as it. What decodes must survive being encoded
 * and decoded again.
 */
#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wire/codec.h"
#include "wire/config_messages.h"
#include "wire/gang_messages.h"
#include "wire/member_messages.h"
#include "wire/request_messages.h"

using namespace plantainfork;

namespace
{

template<typename Message>
void decodeOnce(std::string_view bytes)
{
    const auto message = wire::decode<Message>(bytes);
    if (!message.ok()) {
        return;
    }
    const auto encoded = wire::encode(*message);
    const auto again = wire::decode<Message>(encoded);
    assert(again.ok());
    assert(wire::encode(*again) == encoded);
}

using Decoder = void (*)(std::string_view);

constexpr std::array<Decoder, 18> Decoders{
    decodeOnce<wire::SyncCall>,
    decodeOnce<wire::SyncReply>,
    decodeOnce<wire::ExecuteCall>,
    decodeOnce<wire::ExecuteReply>,
    decodeOnce<wire::SettleCall>,
    decodeOnce<wire::SettleReply>,
    decodeOnce<wire::PrepareCall>,
    decodeOnce<wire::GangReply>,
    decodeOnce<wire::CommitCall>,
    decodeOnce<wire::StopCall>,
    decodeOnce<wire::InventoryCall>,
    decodeOnce<wire::InventoryReply>,
    decodeOnce<wire::GangHeartbeatCall>,
    decodeOnce<wire::GangHeartbeatReply>,
    decodeOnce<wire::TaskReportCall>,
    decodeOnce<wire::TaskReportReply>,
    decodeOnce<wire::Config>,
    decodeOnce<wire::MemberRecord>,
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    Decoders[data[0] % Decoders.size()](bytes);
    return 0;
}
