/** Columns of text for the terminal. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace plantainfork::ctl
{

class Table
{
public:
    explicit Table(std::vector<std::string> headings);

    /** A row has as many cells as there are headings. */
    void add(std::vector<std::string> cells);

    /** Pads each column to its widest cell; writes the headings even when there are no rows. */
    void write(std::ostream &stream) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace plantainfork::ctl
