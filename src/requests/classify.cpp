#include "requests/classify.h"

#include <algorithm>
#include <utility>

namespace plantainfork::requests
{

namespace
{

template<typename Id, typename Value>
const Value *findPresent(const std::map<Id, wire::Versioned<Value>> &values, const Id &id)
{
    const auto found = values.find(id);
    return found == values.end() || found->second.removed ? nullptr : &found->second.value;
}

/** Sums the workspace's guaranteed shares over all templates of the service. */
std::uint32_t guaranteedShare(const wire::Workspace &workspace, const base::ServiceId &service, const wire::Config &config)
{
    std::uint32_t share = 0;
    for (const auto &grant : workspace.grants) {
        const wire::Template *requestTemplate = findPresent(config.templates, grant.templateId);
        if (requestTemplate && requestTemplate->service == service) {
            share += grant.guaranteedSlotShare;
        }
    }
    return share;
}

} // namespace

absl::StatusOr<ClassifiedRequest> classify(AcceptedRequest request, const wire::Config &config)
{
    const wire::Template *requestTemplate = findPresent(config.templates, request.templateId);
    if (!requestTemplate) {
        return absl::NotFoundError("no template " + request.templateId.value());
    }
    const wire::Workspace *workspace = findPresent(config.workspaces, request.workspace);
    if (!workspace) {
        return absl::NotFoundError("no workspace " + request.workspace.value());
    }
    const bool isGranted = std::any_of(workspace->grants.begin(), workspace->grants.end(), [&request](const wire::Grant &grant) {
        return grant.templateId == request.templateId;
    });
    if (!isGranted) {
        return absl::PermissionDeniedError("workspace " + request.workspace.value() + " has no grant of " + request.templateId.value());
    }
    if (requestTemplate->kind != wire::WorkKind::Request || requestTemplate->service != request.service) {
        return absl::InvalidArgumentError("template " + request.templateId.value() + " is not for requests to " + request.service.value());
    }
    if (!requestTemplate->idempotent && request.id.isEmpty()) {
        return absl::InvalidArgumentError("Plantainfork-Request-Id: is required, as the template is non-idempotent");
    }
    ClassifiedRequest classified;
    classified.urgency = requestTemplate->urgency;
    classified.isIdempotent = requestTemplate->idempotent;
    classified.guaranteedShare = guaranteedShare(*workspace, request.service, config);
    const auto fallbackDeadline = requestTemplate->deadline.count() > 0 ? requestTemplate->deadline : DefaultDeadline;
    classified.deadline = request.arrived + request.deadline.value_or(fallbackDeadline);
    classified.request = std::move(request);
    return classified;
}

} // namespace plantainfork::requests
