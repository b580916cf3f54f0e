/**
 * The entry role of the daemon: serves callers and operators, as one of several equivalent entries. Connects the
 * components for membership, requests and jobs, and makes no decisions itself.
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

class Entry
{
public:
    /** Listens on the settings' addresses. Fails if an address is in use; the error names it. */
    static absl::StatusOr<std::unique_ptr<Entry>> create(boost::asio::any_io_executor executor, settings::Settings settings, base::Incarnation incarnation);
    ~Entry();

    /** Reports not ready to the load balancer first, then refuses new work, finishes what is in flight and leaves the membership. */
    boost::asio::awaitable<void> stop();

private:
    struct State;
    explicit Entry(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace plantainfork::daemon
