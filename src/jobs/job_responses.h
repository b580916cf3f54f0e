/** JSON responses about jobs: failures, explanations and capacity. Explanations of live jobs and capacity come from the scheduling core's state. */
#pragma once

#include <string>

#include "base/findings.h"
#include "http/message.h"
#include "jobs/job_record.h"
#include "scheduling/core.h"
#include "wire/config_messages.h"

namespace plantainfork::jobs
{

/** Response to a failed call. `outcome` says what is known of its effect: "not-run" or "unknown". */
[[nodiscard]] http::Response failureResponse(unsigned status, const std::string &outcome, const std::string &reason);
[[nodiscard]] http::Response findingsResponse(const base::Findings &findings);

[[nodiscard]] std::string explanationJson(const JobRecord &record, const scheduling::Core &core);
/** Omits data centres that the configuration assigns to another region. */
[[nodiscard]] std::string capacityJson(const base::RegionId &region, const scheduling::Core &core, const wire::Config &config);
/** Explanation from the stored record alone, for a job that has ended or whose region's scheduler can't be reached. */
[[nodiscard]] std::string recordedExplanationJson(const JobRecord &record);

} // namespace plantainfork::jobs
