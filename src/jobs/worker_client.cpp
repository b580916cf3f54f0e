#include "jobs/worker_client.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace plantainfork::jobs
{

namespace asio = boost::asio;

namespace
{

/** Connections to the worker, shared by the calls for all tasks. */
constexpr std::size_t WorkerConnections = 4;

nlohmann::json startBody(const wire::PrepareCall &plan, std::chrono::milliseconds lease)
{
    return {
        {"job", plan.attempt.job.value()},
        {"attempt", plan.attempt.attempt},
        {"rank", plan.rank},
        {"accelerators", plan.shape.acceleratorsPerMember},
        {"cores", plan.shape.coresPerMember},
        {"memoryMiB", plan.shape.memoryMiBPerMember},
        {"runTimeMs", plan.runTime.count()},
        {"resumeFromMs", plan.resumeFrom.count()},
        {"checkpointable", plan.checkpointable},
        {"leaseMs", lease.count()},
    };
}

absl::Status statusOf(const http::Exchange &exchange, const std::string &action)
{
    if (!exchange.response.ok()) {
        return exchange.response.status();
    }
    if (exchange.response->status == 404) {
        return absl::NotFoundError("the worker does not know the task");
    }
    if (exchange.response->status != 200) {
        return absl::UnknownError(action + ": worker answered " + std::to_string(exchange.response->status));
    }
    return absl::OkStatus();
}

} // namespace

WorkerClient::WorkerClient(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

std::shared_ptr<http::Client> WorkerClient::clientFor(const wire::Address &worker)
{
    const std::scoped_lock lock(m_mutex);
    const bool isKnown = m_client && m_client->host() == worker.host && m_client->port() == worker.port;
    if (!isKnown) {
        m_client = std::make_shared<http::Client>(m_executor, worker.host, worker.port, WorkerConnections);
    }
    return m_client;
}

asio::awaitable<WorkerClient::StartResult>
WorkerClient::start(wire::Address worker, wire::PrepareCall plan, std::chrono::milliseconds lease, runtime::Instant deadline)
{
    http::Request request;
    request.method = "POST";
    request.target = "/tasks";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = startBody(plan, lease).dump();
    const auto httpClient = clientFor(worker);
    const http::Exchange exchange = co_await httpClient->send(std::move(request), deadline);
    StartResult result;
    if (!exchange.response.ok()) {
        result.outcome = exchange.delivery == http::Delivery::NotSent ? StartOutcome::NotStarted : StartOutcome::Unknown;
        result.reason = exchange.response.status().ToString();
    } else if (exchange.response->status == 200) {
        result.outcome = StartOutcome::Started;
    } else {
        result.outcome = StartOutcome::NotStarted;
        result.reason = "worker answered " + std::to_string(exchange.response->status) + ": " + exchange.response->body;
    }
    co_return result;
}

asio::awaitable<http::Exchange>
WorkerClient::postTaskAction(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, std::string action, runtime::Instant deadline)
{
    http::Request request;
    request.method = "POST";
    request.target = "/tasks/" + attempt.job.value() + "/" + std::to_string(attempt.attempt) + "/" + std::to_string(rank) + "/" + action;
    const auto httpClient = clientFor(worker);
    co_return co_await httpClient->send(std::move(request), deadline);
}

asio::awaitable<absl::StatusOr<std::chrono::milliseconds>>
WorkerClient::checkpoint(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, runtime::Instant deadline)
{
    const http::Exchange exchange = co_await postTaskAction(std::move(worker), std::move(attempt), rank, "checkpoint", deadline);
    const absl::Status status = statusOf(exchange, "checkpoint");
    if (!status.ok()) {
        co_return status;
    }
    const auto json = nlohmann::json::parse(exchange.response->body, nullptr, false);
    if (!json.is_object() || !json.contains("checkpointedMs") || !json["checkpointedMs"].is_number_unsigned()) {
        co_return absl::InvalidArgumentError("checkpoint: the worker's answer has no checkpointedMs");
    }
    co_return std::chrono::milliseconds(json["checkpointedMs"].get<std::int64_t>());
}

asio::awaitable<absl::Status> WorkerClient::throttle(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, runtime::Instant deadline)
{
    const http::Exchange exchange = co_await postTaskAction(std::move(worker), std::move(attempt), rank, "throttle", deadline);
    co_return statusOf(exchange, "throttle");
}

asio::awaitable<absl::Status> WorkerClient::stop(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, runtime::Instant deadline)
{
    const http::Exchange exchange = co_await postTaskAction(std::move(worker), std::move(attempt), rank, "stop", deadline);
    const absl::Status status = statusOf(exchange, "stop");
    co_return absl::IsNotFound(status) ? absl::OkStatus() : status;
}

} // namespace plantainfork::jobs
