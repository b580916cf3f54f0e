/** The values that operators send and read as JSON (docs/PROTOCOLS.md), checked as a whole with all findings. */
#pragma once

#include <string>
#include <variant>

#include "base/findings.h"
#include "wire/config_messages.h"

namespace plantainfork::config
{

template<typename Value>
using Parsed = std::variant<Value, base::Findings>;

Parsed<wire::Template> parseTemplate(const std::string &name, const std::string &text);
Parsed<wire::Workspace> parseWorkspace(const std::string &name, const std::string &text);
Parsed<wire::DataCentre> parseDataCentre(const std::string &name, const std::string &text);

std::string toJson(const wire::Template &value);
std::string toJson(const wire::Workspace &value);
std::string toJson(const wire::DataCentre &value);

/** Findings about a value's references to others: templates that a grant names must exist, data centres too. */
base::Findings checkReferences(const wire::Config &config);

/** Body of GET /v1/config. */
std::string toJson(const wire::Config &config);

} // namespace plantainfork::config
