#include "requests/claim.h"

#include <array>
#include <cctype>
#include <string_view>

namespace plantainfork::requests
{

namespace
{

constexpr std::string_view KeyPrefix = "plantainfork/claims/";
constexpr std::string_view HexDigits = "0123456789abcdef";

std::string hexByte(unsigned value)
{
    return {HexDigits[value / 16 % 16], HexDigits[value % 16]};
}

/** Leaves letters, digits, '-', '_' and '.' unchanged and encodes any other byte as '~' and two hex digits. */
std::string escaped(const std::string &text)
{
    std::string result;
    for (const char byte : text) {
        const auto value = static_cast<unsigned char>(byte);
        const bool isPlain = std::isalnum(value) != 0 || byte == '-' || byte == '_' || byte == '.';
        if (isPlain) {
            result += byte;
        } else {
            result += '~';
            result += hexByte(value);
        }
    }
    return result;
}

/** FNV-1a, whose value is the same in every process and release. */
std::uint32_t stableHash(const std::string &text)
{
    std::uint32_t hash = 2166136261U;
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
    }
    return hash;
}

} // namespace

std::string claimPrefix(unsigned shard)
{
    return std::string(KeyPrefix) + hexByte(shard) + "/";
}

std::string claimKey(const RequestKey &key)
{
    const std::string name = escaped(key.workspace.value()) + "/" + escaped(key.id.value());
    return claimPrefix(stableHash(name) % ClaimShards) + name;
}

std::chrono::milliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace plantainfork::requests
