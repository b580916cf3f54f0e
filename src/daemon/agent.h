/**
 * The agent role of the daemon: runs beside one target and makes the last check before work is started there. Connects
 * the components for membership, requests and gangs.
 */
#pragma once

#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/ids.h"
#include "settings/settings.h"

namespace plantainfork::daemon
{

class Agent
{
public:
    /** Listens on the settings' addresses. Fails if an address is in use; the error names it. */
    static absl::StatusOr<std::unique_ptr<Agent>> create(boost::asio::any_io_executor executor, settings::Settings settings, base::Incarnation incarnation);
    ~Agent();

    /** Announces that it is leaving, refuses new work, finishes open work and leaves the membership. */
    boost::asio::awaitable<void> stop();

private:
    struct State;
    explicit Agent(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace plantainfork::daemon
