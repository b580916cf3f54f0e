/**
 * A template or workspace as an operator wrote it: TOML or JSON with the field names of docs/PROTOCOLS.md, plus KEY=VALUE
 * changes on top. Remembers where each field stands, so that the entry's findings can be shown at their place in the file.
 */
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/findings.h"

namespace plantainfork::ctl
{

struct Document {
    /** JSON text of the value. */
    std::string json;
    /** Place of each field by its path, such as "shape.members" or "grants[0].template". Empty for JSON. */
    std::map<std::string, base::Place> places;
};

/** Reads a file by its ending: ".toml" is TOML, anything else is JSON, "-" is JSON on standard input. */
std::variant<Document, base::Findings> readDocument(const std::string &path);
std::variant<Document, base::Findings> parseToml(const std::string &text, const std::string &source);
std::variant<Document, base::Findings> parseJson(const std::string &text, const std::string &source);

/** Applies "KEY=VALUE" changes; KEY is a path with dots, VALUE is JSON, or text when it isn't. */
base::Findings assign(Document &document, const std::vector<std::string> &assignments);

/** Place of a field, or of the nearest field around it; the path itself when the document doesn't know. */
base::Place placeOf(const Document &document, const std::string &path);

/** Whole content of a file, or of standard input for "-". */
std::variant<std::string, base::Findings> readFile(const std::string &path);

} // namespace plantainfork::ctl
