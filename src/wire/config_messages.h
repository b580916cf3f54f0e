/**
 * The operators' configuration as it is stored and passed between daemons: templates, workspaces and
 * data-centre states, each with the revision at which it last changed.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "base/ids.h"
#include "wire/chrono.h"
#include "wire/resources.h"

namespace plantainfork::wire
{

enum class WorkKind : std::uint8_t {
    /** Served by an executor; the caller waits for the answer. */
    Request,
    /** Run as a gang on workers. */
    Job,
};

/** One kind of work. Workspaces fill in its parameters by a Grant. */
struct Template {
    base::TemplateId name;
    WorkKind kind = WorkKind::Request;
    /** Requests only: the executors' service. */
    base::ServiceId service;
    bool idempotent = true;
    /** Jobs only: a stopped task goes on from its last checkpoint. */
    bool checkpointable = false;
    Urgency urgency = Urgency::Normal;
    /** Time from submission within which the work is wanted; 0 means no deadline. */
    std::chrono::milliseconds deadline{0};
    Shape shape;

    bool operator==(const Template &) const = default;
    MSGPACK_DEFINE_MAP(name, kind, service, idempotent, checkpointable, urgency, deadline, shape);
};

/** What one workspace may expect of one template. */
struct Grant {
    base::TemplateId templateId;
    /** Gangs of the shape that the workspace can have running at any time (jobs). */
    std::uint32_t guaranteedGangs = 0;
    /** Share of request slots that the workspace can have at any time, in thousandths (requests). */
    std::uint32_t guaranteedSlotShare = 0;
    /** Replaces the template's shape unless members is 0. */
    Shape shape{0};
    /** Where the guarantee is placed; empty lets admission choose. */
    std::vector<base::DataCentreId> dataCentres;

    bool operator==(const Grant &) const = default;
    MSGPACK_DEFINE_MAP(templateId, guaranteedGangs, guaranteedSlotShare, shape, dataCentres);
};

struct Workspace {
    base::WorkspaceId name;
    std::vector<Grant> grants;

    bool operator==(const Workspace &) const = default;
    MSGPACK_DEFINE_MAP(name, grants);
};

enum class DataCentreMode : std::uint8_t {
    In,
    /** Taken out by operators: no task starts there, running work moves away. */
    Out,
};

struct DataCentre {
    base::DataCentreId name;
    base::RegionId region;
    DataCentreMode mode = DataCentreMode::In;

    bool operator==(const DataCentre &) const = default;
    MSGPACK_DEFINE_MAP(name, region, mode);
};

/** A value with the revision at which it last changed. A removed value stays as a tombstone. */
template<typename Value>
struct Versioned {
    Value value;
    base::Revision revision;
    bool removed = false;

    MSGPACK_DEFINE_MAP(value, revision, removed);
};

/** Whole configuration at one revision. Immutable once published. */
struct Config {
    /** Revision of the newest change that it contains. */
    base::Revision revision;
    std::map<base::TemplateId, Versioned<Template>> templates;
    std::map<base::WorkspaceId, Versioned<Workspace>> workspaces;
    std::map<base::DataCentreId, Versioned<DataCentre>> dataCentres;

    MSGPACK_DEFINE_MAP(revision, templates, workspaces, dataCentres);
};

} // namespace plantainfork::wire

MSGPACK_ADD_ENUM(plantainfork::wire::WorkKind);
MSGPACK_ADD_ENUM(plantainfork::wire::DataCentreMode);
