/** Log lines that a test causes, for a look at them. */
#pragma once

#include <iostream>
#include <sstream>
#include <streambuf>
#include <string>

namespace plantainfork::tests
{

/** Catches what is written to standard output's stream while it lives. */
class CapturedLog
{
public:
    CapturedLog()
        : m_original(std::cout.rdbuf(m_text.rdbuf()))
    {
    }
    ~CapturedLog()
    {
        std::cout.rdbuf(m_original);
    }
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;

    [[nodiscard]] std::string text() const
    {
        return m_text.str();
    }

private:
    std::ostringstream m_text;
    std::streambuf *m_original;
};

} // namespace plantainfork::tests
