#include "log/line.h"

#include <algorithm>

namespace plantainfork::log
{

namespace
{

bool isPlain(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code > ' ' && code != 0x7f && character != '"' && character != '=' && character != '\\';
}

void appendEscaped(std::string &text, char character)
{
    static constexpr std::string_view HexDigits = "0123456789abcdef";
    const auto code = static_cast<unsigned char>(character);
    if (character == '\n') {
        text += "\\n";
    } else if (character == '"' || character == '\\') {
        text += '\\';
        text += character;
    } else if (code < ' ' || code == 0x7f) {
        text += "\\x";
        text += HexDigits[code >> 4U];
        text += HexDigits[code & 0xfU];
    } else {
        text += character;
    }
}

void appendField(std::string &line, const Field &field)
{
    line += ' ';
    line += field.name;
    line += '=';
    line += quoteValue(field.value);
}

} // namespace

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "error";
}

std::string quoteValue(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        return std::string(value);
    }
    std::string text = "\"";
    for (const char character : value) {
        appendEscaped(text, character);
    }
    text += '"';
    return text;
}

std::string formatLine(Severity severity, std::string_view event, const std::vector<Field> &common, const std::vector<Field> &fields)
{
    std::string line = "severity=" + std::string(severityName(severity)) + " event=" + quoteValue(event);
    for (const auto &field : common) {
        appendField(line, field);
    }
    for (const auto &field : fields) {
        appendField(line, field);
    }
    return line;
}

} // namespace plantainfork::log
