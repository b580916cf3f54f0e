#include "ctl/table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace plantainfork::ctl
{

namespace
{

constexpr std::size_t Gap = 2;

} // namespace

Table::Table(std::vector<std::string> headings)
    : m_rows{std::move(headings)}
{
}

void Table::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

void Table::write(std::ostream &stream) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] + Gap - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        stream << line << '\n';
    }
}

} // namespace plantainfork::ctl
