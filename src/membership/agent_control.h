/** Control plane of an agent: uplink, children that it relays for, configuration and start permit. */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "membership/member_view.h"
#include "metrics/registry.h"
#include "permits/permit_gate.h"
#include "rpc/channel_pool.h"
#include "rpc/server.h"
#include "runtime/published.h"
#include "settings/settings.h"

namespace plantainfork::membership
{

class AgentControl
{
public:
    /** Registers its call handlers on the server, which must not have been started. All references must outlive the executor's work. */
    AgentControl(const boost::asio::any_io_executor &executor,
                 const settings::Settings &settings,
                 base::Incarnation incarnation,
                 rpc::ChannelPool &channels,
                 rpc::Server &server,
                 metrics::Registry &registry);
    ~AgentControl();

    void start();

    [[nodiscard]] const runtime::Published<wire::Config> &config() const;
    /** This agent and the agents that use it as their relay. Agents don't know the other members. */
    [[nodiscard]] const runtime::Published<MemberView> &members() const;
    [[nodiscard]] const permits::PermitGate &permitGate() const;

    /** Sets what the agent's target offers and whether it accepts new work. May be called from any thread. */
    void setOffer(wire::TargetOffer offer, wire::MemberState state = wire::MemberState::Alive);
    /** Announces that this agent accepts no new work. */
    void beginLeaving();
    /** Announces to the parent that this agent has left, and stops. */
    boost::asio::awaitable<void> leave();

    /** Response body of the agent's GET /v1/status. */
    [[nodiscard]] std::string statusJson() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace plantainfork::membership
