#include "settings/address.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

#include <arpa/inet.h>

namespace plantainfork::settings
{

namespace
{

bool isIpNumber(int family, const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, host.c_str(), address.data()) == 1;
}

/** The host without the brackets that an IPv6 number needs before a port; nothing unless it is an IP number. */
std::optional<std::string> parseHost(std::string text)
{
    if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
        text = text.substr(1, text.size() - 2);
        return isIpNumber(AF_INET6, text) ? std::optional(std::move(text)) : std::nullopt;
    }
    return isIpNumber(AF_INET, text) ? std::optional(std::move(text)) : std::nullopt;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || rest != end || port == 0) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<wire::Address> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = parseHost(text.substr(0, colon));
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    if (!host || !port) {
        return std::nullopt;
    }
    return wire::Address{std::move(*host), *port};
}

std::string addressText(const wire::Address &address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

} // namespace plantainfork::settings
