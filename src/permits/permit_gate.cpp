#include "permits/permit_gate.h"

namespace plantainfork::permits
{

void PermitGate::accept(base::Revision revision, runtime::Instant askedAt, std::chrono::milliseconds lifetime)
{
    if (revision.value() < m_revision.load() || lifetime.count() <= 0) {
        return;
    }
    m_revision.store(revision.value());
    const runtime::Clock::rep until = (askedAt + lifetime).time_since_epoch().count();
    runtime::Clock::rep current = m_validUntil.load();
    while (current < until && !m_validUntil.compare_exchange_weak(current, until)) { }
}

void PermitGate::close()
{
    m_validUntil.store(0);
}

bool PermitGate::isOpen() const
{
    return runtime::Clock::now() < validUntil();
}

runtime::Instant PermitGate::validUntil() const
{
    return runtime::Instant(runtime::Clock::duration(m_validUntil.load()));
}

} // namespace plantainfork::permits
