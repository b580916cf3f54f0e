/**
 * The entry's JSON answers, read leniently: an entry of another version may leave a field out or add one, and the tool
 * still prints what it knows.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "http/message.h"

namespace plantainfork::ctl
{

using Json = nlohmann::ordered_json;

/** The body as JSON; null when it isn't. */
Json parseBody(const http::Response &response);

/** JSON text on one line; bytes that aren't UTF-8 are replaced. */
std::string toText(const Json &value);

/** A field as text: strings as they are, other values as JSON, "-" when absent or null. */
std::string fieldText(const Json &object, std::string_view name);
/** A field as a number; 0 when absent or no number. */
std::int64_t fieldNumber(const Json &object, std::string_view name);
/** Whether a field is true. */
bool fieldFlag(const Json &object, std::string_view name);
/** An array or object field; an empty array when absent. */
const Json &fieldItems(const Json &object, std::string_view name);
/** Elements of an array field as text, separated by commas; "-" when there are none. */
std::string fieldList(const Json &object, std::string_view name);

/** Why the entry refused: its findings one a line, else its reason, else the body. */
std::string refusalText(const http::Response &response);

/** A name as one segment of a URL's path. */
std::string encodeSegment(std::string_view text);

} // namespace plantainfork::ctl
