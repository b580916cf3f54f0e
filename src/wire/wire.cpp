#include "wire/codec.h"
#include "wire/gang_messages.h"
#include "wire/member_messages.h"
#include "wire/request_messages.h"

namespace plantainfork::wire
{

static_assert(Call<SyncCall>);
static_assert(Call<ExecuteCall>);
static_assert(Call<SettleCall>);
static_assert(Call<PrepareCall>);
static_assert(Call<CommitCall>);
static_assert(Call<StopCall>);
static_assert(Call<InventoryCall>);
static_assert(Call<GangHeartbeatCall>);
static_assert(Call<TaskReportCall>);

template absl::StatusOr<SyncCall> decode<SyncCall>(std::string_view);
template absl::StatusOr<PrepareCall> decode<PrepareCall>(std::string_view);
template absl::StatusOr<ExecuteCall> decode<ExecuteCall>(std::string_view);

} // namespace plantainfork::wire
