#include "membership/agent_control.h"

#include <atomic>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "membership/node.h"
#include "membership/status_json.h"
#include "membership/uplink.h"

namespace plantainfork::membership
{

namespace asio = boost::asio;

struct AgentControl::State {
    State(const asio::any_io_executor &executor,
          const settings::Settings &settings,
          base::Incarnation incarnation,
          rpc::ChannelPool &channels,
          metrics::Registry &registry)
        : node(std::make_shared<Node>(executor, settings, incarnation, registry))
        , uplink(std::make_shared<Uplink>(node, channels, registry, [this](const wire::SyncReply &reply, runtime::Instant permitFrom) {
            applyReply(reply, permitFrom);
        }))
    {
    }

    /** Must run on the node's strand. */
    void applyReply(const wire::SyncReply &reply, runtime::Instant permitFrom)
    {
        const auto config = node->configHolder.config().load();
        const auto dataCentre = config->dataCentres.find(node->settings.dataCentre);
        const bool isOut = dataCentre != config->dataCentres.end() && !dataCentre->second.removed && dataCentre->second.value.mode == wire::DataCentreMode::Out;
        if (isOut) {
            gate.close();
        } else if (reply.permit.revision <= config->revision) {
            gate.accept(reply.permit.revision, permitFrom, reply.permit.remaining);
        }
        isConnected = true;
    }

    permits::PermitGate gate;
    std::atomic<bool> isConnected{false};
    const std::shared_ptr<Node> node;
    const std::shared_ptr<Uplink> uplink;
};

AgentControl::AgentControl(const asio::any_io_executor &executor,
                           const settings::Settings &settings,
                           base::Incarnation incarnation,
                           rpc::ChannelPool &channels,
                           rpc::Server &server,
                           metrics::Registry &registry)
    : m_state(std::make_shared<State>(executor, settings, incarnation, channels, registry))
{
    m_state->node->registerOn(server);
}

AgentControl::~AgentControl()
{
    m_state->node->stop();
}

void AgentControl::start()
{
    asio::co_spawn(m_state->node->strand, m_state->node->runMaintenance(), asio::detached);
    // The uplink's reply handler uses the state, so the completion handler keeps it alive.
    asio::co_spawn(m_state->node->strand, m_state->uplink->run(), [state = m_state](const std::exception_ptr &) {});
}

const runtime::Published<wire::Config> &AgentControl::config() const
{
    return m_state->node->configHolder.config();
}

const runtime::Published<MemberView> &AgentControl::members() const
{
    return m_state->node->members();
}

const permits::PermitGate &AgentControl::permitGate() const
{
    return m_state->gate;
}

void AgentControl::setOffer(wire::TargetOffer offer, wire::MemberState state)
{
    asio::post(m_state->node->strand, [node = m_state->node, offer = std::move(offer), state]() mutable {
        node->setOffer(std::move(offer), state);
    });
}

void AgentControl::beginLeaving()
{
    asio::post(m_state->node->strand, [node = m_state->node] {
        node->setMinimumState(wire::MemberState::Leaving);
    });
}

asio::awaitable<void> AgentControl::leave()
{
    const auto state = m_state;
    asio::post(state->node->strand, [node = state->node] {
        node->setMinimumState(wire::MemberState::Left);
    });
    co_await asio::co_spawn(state->node->strand, state->uplink->sendLeaveCall(), asio::use_awaitable);
    state->node->stop();
}

std::string AgentControl::statusJson() const
{
    const auto config = m_state->node->configHolder.config().load();
    return agentStatusJson(
        {m_state->node->settings.id, config->revision, m_state->gate.isOpen(), m_state->isConnected, m_state->node->members().load()->members.size()});
}

} // namespace plantainfork::membership
