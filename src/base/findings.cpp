#include "base/findings.h"

#include <utility>

namespace plantainfork::base
{

std::string Place::text() const
{
    if (line == 0) {
        return source;
    }
    return source + ":" + std::to_string(line) + ":" + std::to_string(column);
}

void Findings::add(Place place, std::string message)
{
    m_findings.push_back({std::move(place), std::move(message)});
}

void Findings::add(std::string field, std::string message)
{
    add(Place{std::move(field)}, std::move(message));
}

void Findings::append(Findings other)
{
    for (auto &finding : other.m_findings) {
        m_findings.push_back(std::move(finding));
    }
}

bool Findings::isEmpty() const
{
    return m_findings.empty();
}

const std::vector<Finding> &Findings::all() const
{
    return m_findings;
}

std::string Findings::text() const
{
    std::string text;
    for (const auto &finding : m_findings) {
        text += finding.place.text() + ": " + finding.message + "\n";
    }
    return text;
}

absl::Status Findings::status() const
{
    if (isEmpty()) {
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(text());
}

} // namespace plantainfork::base
