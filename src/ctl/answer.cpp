#include "ctl/answer.h"

#include <cctype>

#include <nlohmann/json.hpp>

namespace plantainfork::ctl
{

namespace
{

std::string scalarText(const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : toText(value);
}

bool hasField(const Json &object, std::string_view name)
{
    return object.is_object() && object.contains(name);
}

} // namespace

Json parseBody(const http::Response &response)
{
    auto body = Json::parse(response.body, nullptr, false);
    return body.is_discarded() ? Json() : body;
}

std::string toText(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string fieldText(const Json &object, std::string_view name)
{
    return hasField(object, name) ? scalarText(object.at(std::string(name))) : "-";
}

std::int64_t fieldNumber(const Json &object, std::string_view name)
{
    if (!hasField(object, name)) {
        return 0;
    }
    const auto &value = object.at(std::string(name));
    return value.is_number() ? value.get<std::int64_t>() : 0;
}

bool fieldFlag(const Json &object, std::string_view name)
{
    return hasField(object, name) && object.at(std::string(name)) == true;
}

const Json &fieldItems(const Json &object, std::string_view name)
{
    static const Json None = Json::array();
    if (!hasField(object, name)) {
        return None;
    }
    const auto &value = object.at(std::string(name));
    return value.is_structured() ? value : None;
}

std::string fieldList(const Json &object, std::string_view name)
{
    std::string text;
    for (const auto &element : fieldItems(object, name)) {
        text += text.empty() ? "" : ", ";
        text += scalarText(element);
    }
    return text.empty() ? "-" : text;
}

std::string refusalText(const http::Response &response)
{
    const auto body = parseBody(response);
    std::string text;
    for (const auto &finding : fieldItems(body, "findings")) {
        text += fieldText(finding, "place") + ": " + fieldText(finding, "message") + "\n";
    }
    if (!text.empty()) {
        return text;
    }
    for (const auto *name : {"reason", "error"}) {
        if (hasField(body, name)) {
            return fieldText(body, name) + "\n";
        }
    }
    return response.body.empty() ? "status " + std::to_string(response.status) + "\n" : response.body + "\n";
}

std::string encodeSegment(std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (std::isalnum(code) != 0 || character == '-' || character == '_' || character == '.' || character == '~') {
            encoded += character;
        } else {
            encoded += '%';
            encoded += HexDigits[code >> 4U];
            encoded += HexDigits[code & 0xfU];
        }
    }
    return encoded;
}

} // namespace plantainfork::ctl
