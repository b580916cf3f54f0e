/** Turns what the JSON library throws on a damaged text into a status. For .cpp files, as it brings the library in. */
#pragma once

#include <exception>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace plantainfork::wire
{

/** Applies the function to the parsed text; InvalidArgument names `what` when the text, or something the function needs of it, is missing. */
template<typename Function>
auto decodeJson(const std::string &text, std::string_view what, Function function) -> absl::StatusOr<decltype(function(nlohmann::json()))>
{
    try {
        return function(nlohmann::json::parse(text));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(std::string(what) + " does not decode: " + error.what());
    }
}

} // namespace plantainfork::wire
