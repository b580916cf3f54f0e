#include "permits/config_freshness.h"

#include <algorithm>

namespace plantainfork::permits
{

ConfigFreshness::ConfigFreshness(std::chrono::milliseconds lifetime)
    : m_permitLifetime(lifetime)
{
}

void ConfigFreshness::confirmByStore(base::Revision revision, runtime::Instant askedAt)
{
    confirm(revision, askedAt + m_permitLifetime);
}

void ConfigFreshness::confirmByPermit(const wire::StartPermit &permit, runtime::Instant askedAt)
{
    // A correct permit never exceeds one lifetime; the limit bounds the effect of an error in another process.
    const std::chrono::milliseconds lifetime = std::min(permit.remaining, m_permitLifetime);
    if (lifetime.count() > 0) {
        confirm(permit.revision, askedAt + lifetime);
    }
}

void ConfigFreshness::confirm(base::Revision revision, runtime::Instant until)
{
    const std::scoped_lock lock(m_mutex);
    if (revision < m_revision) {
        return;
    }
    m_revision = revision;
    m_validUntil = std::max(m_validUntil, until);
}

wire::StartPermit ConfigFreshness::issuePermit(base::Revision configRevision) const
{
    const std::scoped_lock lock(m_mutex);
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(m_validUntil - runtime::Clock::now());
    if (remaining.count() <= 0 || configRevision < m_revision) {
        return {};
    }
    return {m_revision, remaining};
}

runtime::Instant ConfigFreshness::validUntil() const
{
    const std::scoped_lock lock(m_mutex);
    return m_validUntil;
}

} // namespace plantainfork::permits
