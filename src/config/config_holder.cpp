#include "config/config_holder.h"

#include <utility>

namespace plantainfork::config
{

namespace
{

template<typename Values>
void mergeValues(Values &held, const Values &changes)
{
    for (const auto &[name, versioned] : changes) {
        auto &mine = held[name];
        if (versioned.revision > mine.revision) {
            mine = versioned;
        }
    }
}

template<typename Values>
void copyChanges(const Values &values, base::Revision revision, Values &changes)
{
    for (const auto &[name, versioned] : values) {
        if (versioned.revision > revision) {
            changes.emplace(name, versioned);
        }
    }
}

} // namespace

ConfigHolder::ConfigHolder(Monotonic monotonic)
    : m_monotonic(monotonic)
    , m_config(std::make_shared<const wire::Config>())
{
}

bool ConfigHolder::merge(const wire::Config &changes)
{
    const std::scoped_lock lock(m_merging);
    const auto current = m_config.load();
    if (m_monotonic == Monotonic::Off) {
        m_config.publish(std::make_shared<const wire::Config>(changes));
        return changes.revision > current->revision;
    }
    if (changes.revision <= current->revision) {
        return false;
    }
    auto next = std::make_shared<wire::Config>(*current);
    next->revision = changes.revision;
    mergeValues(next->templates, changes.templates);
    mergeValues(next->workspaces, changes.workspaces);
    mergeValues(next->dataCentres, changes.dataCentres);
    m_config.publish(std::move(next));
    return true;
}

const runtime::Published<wire::Config> &ConfigHolder::config() const
{
    return m_config;
}

base::Revision ConfigHolder::revision() const
{
    return m_config.load()->revision;
}

wire::Config changesAfter(const wire::Config &config, base::Revision revision)
{
    wire::Config changes;
    changes.revision = config.revision;
    copyChanges(config.templates, revision, changes.templates);
    copyChanges(config.workspaces, revision, changes.workspaces);
    copyChanges(config.dataCentres, revision, changes.dataCentres);
    return changes;
}

} // namespace plantainfork::config
