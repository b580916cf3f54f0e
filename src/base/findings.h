/**
 * Findings about input, collected with their place and reported together, so that whoever wrote the
 * input mends everything in one go.
 */
#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace plantainfork::base
{

/** Where a finding stands. For input without lines (an HTTP field), line and column are 0 and source names the field. */
struct Place {
    std::string source;
    unsigned line = 0;
    unsigned column = 0;

    /** "file:line:column", or just the source. */
    [[nodiscard]] std::string text() const;
};

struct Finding {
    Place place;
    std::string message;
};

class Findings
{
public:
    void add(Place place, std::string message);
    void add(std::string field, std::string message);
    void append(Findings other);

    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] const std::vector<Finding> &all() const;
    /** One finding a line, as "place: message". */
    [[nodiscard]] std::string text() const;
    /** OK when empty, else InvalidArgument with text(). */
    [[nodiscard]] absl::Status status() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace plantainfork::base
