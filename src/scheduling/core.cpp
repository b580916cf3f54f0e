#include "scheduling/core.h"

#include "scheduling/scheduler.h"

namespace plantainfork::scheduling
{

Core::Core(Options options)
    : m_scheduler(std::make_unique<Scheduler>(options))
{
}

Core::Core(Core &&) noexcept = default;
Core &Core::operator=(Core &&) noexcept = default;
Core::~Core() = default;

Decision Core::handle(const Event &event, runtime::Instant now)
{
    return m_scheduler->handle(event, now);
}

Capacity Core::capacity() const
{
    return m_scheduler->capacity();
}

std::optional<Explanation> Core::explain(const base::JobId &job) const
{
    return m_scheduler->explain(job);
}

std::vector<ReservedPlace> Core::reservedPlaces() const
{
    return m_scheduler->reservedPlaces();
}

std::vector<UnmetGuarantee> Core::unmetGuarantees() const
{
    return m_scheduler->unmetGuarantees();
}

} // namespace plantainfork::scheduling
