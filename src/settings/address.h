/** Addresses as people write them: "192.0.2.1:7100" or "[2001:db8::1]:7100". */
#pragma once

#include <optional>
#include <string>

#include "wire/member_messages.h"

namespace plantainfork::settings
{

/** Nothing unless the text is an IP number and a port from 1 to 65535. */
std::optional<wire::Address> parseAddress(const std::string &text);

/** The same form back. */
std::string addressText(const wire::Address &address);

} // namespace plantainfork::settings
