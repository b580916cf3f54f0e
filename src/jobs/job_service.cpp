#include "jobs/job_service_impl.h"

#include "store/http_store.h"

namespace plantainfork::jobs
{

template class RegionScheduler<store::HttpStore>;
template class JobService<store::HttpStore>;

} // namespace plantainfork::jobs
