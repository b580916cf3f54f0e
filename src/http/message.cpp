#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace plantainfork::http
{

namespace
{

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::optional<std::string> find(const std::vector<Header> &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return equalIgnoringCase(header.name, name);
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

Response withType(unsigned status, std::string body, std::string type)
{
    return {status, {{"Content-Type", std::move(type)}}, std::move(body)};
}

} // namespace

std::optional<std::string> Request::header(std::string_view name) const
{
    return find(headers, name);
}

std::string_view Request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> Request::query(std::string_view name) const
{
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecoded(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<std::string> Response::header(std::string_view name) const
{
    return find(headers, name);
}

Response Response::text(unsigned status, std::string body)
{
    return withType(status, std::move(body), "text/plain; charset=utf-8");
}

Response Response::json(unsigned status, std::string body)
{
    return withType(status, std::move(body), "application/json");
}

std::string percentEncoded(const std::string &text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view Unescaped = "-._~/";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isAlphanumeric = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
        if (isAlphanumeric || Unescaped.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += '%';
            encoded += Digits[byte >> 4U];
            encoded += Digits[byte & 15U];
        }
    }
    return encoded;
}

} // namespace plantainfork::http
