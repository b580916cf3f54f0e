#include "requests/accept.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "base/findings.h"

namespace plantainfork::requests
{

namespace
{

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::size_t MaxIdBytes = 200;
constexpr std::chrono::milliseconds MaxDeadline{24 * 3600 * 1000};

std::string requiredHeader(const http::Request &request, const char *name, base::Findings &findings)
{
    std::string value = request.header(name).value_or("");
    if (value.empty()) {
        findings.add(name, "is required");
    } else if (value.size() > MaxIdBytes) {
        findings.add(name, "is longer than " + std::to_string(MaxIdBytes) + " bytes");
    }
    return value;
}

std::optional<std::chrono::milliseconds> parseDeadline(const http::Request &request, base::Findings &findings)
{
    const auto text = request.header("Plantainfork-Deadline-Ms");
    if (!text) {
        return std::nullopt;
    }
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), count);
    const bool isWhole = error == std::errc() && end == text->data() + text->size();
    if (!isWhole || count <= 0 || count > MaxDeadline.count()) {
        findings.add("Plantainfork-Deadline-Ms", "must be a whole number of milliseconds from 1 to " + std::to_string(MaxDeadline.count()));
        return std::nullopt;
    }
    return std::chrono::milliseconds(count);
}

} // namespace

absl::StatusOr<AcceptedRequest> accept(http::Request request, runtime::Instant now)
{
    const std::string_view target = request.target;
    if (!target.starts_with(ServicePrefix)) {
        return absl::NotFoundError("no such path");
    }
    const std::string_view rest = target.substr(ServicePrefix.size());
    const std::size_t end = rest.find_first_of("/?");
    base::Findings findings;
    AcceptedRequest accepted;
    accepted.service = base::ServiceId(std::string(rest.substr(0, end)));
    accepted.path = end == std::string_view::npos ? std::string("/") : std::string(rest.substr(end));
    if (!accepted.path.starts_with('/')) {
        accepted.path.insert(0, "/");
    }
    if (accepted.service.isEmpty()) {
        findings.add("path", "names no service");
    }
    if (request.method != "POST") {
        findings.add("method", "must be POST");
    }
    accepted.workspace = base::WorkspaceId(requiredHeader(request, "Plantainfork-Workspace", findings));
    accepted.templateId = base::TemplateId(requiredHeader(request, "Plantainfork-Template", findings));
    accepted.id = base::RequestId(request.header("Plantainfork-Request-Id").value_or(""));
    if (accepted.id.value().size() > MaxIdBytes) {
        findings.add("Plantainfork-Request-Id", "is longer than " + std::to_string(MaxIdBytes) + " bytes");
    }
    accepted.deadline = parseDeadline(request, findings);
    if (!findings.isEmpty()) {
        return findings.status();
    }
    accepted.arrived = now;
    accepted.contentType = request.header("Content-Type").value_or("");
    accepted.body = std::move(request.body);
    return accepted;
}

} // namespace plantainfork::requests
