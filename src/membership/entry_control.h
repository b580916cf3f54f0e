/**
 * Control plane of an entry. Reads the configuration from the store, handles operators' changes of it and passes
 * it to children and the other entries, exchanges members with them, and issues start permits while this entry's
 * configuration is known to be current.
 */
#pragma once

#include <atomic>
#include <charconv>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "config/config_service.h"
#include "config/config_watcher.h"
#include "membership/entry_registration.h"
#include "membership/node.h"
#include "membership/peer_link.h"
#include "membership/status_json.h"
#include "store/http_store.h"

namespace plantainfork::membership
{

/** Records when this process first saw each revision as the newest accepted one. That time is never before the acceptance. */
class RevisionTimes
{
public:
    void record(base::Revision revision)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_times.empty() || m_times.rbegin()->first < revision) {
            m_times.emplace(revision, runtime::Clock::now());
        }
        if (m_times.size() > MaxRevisions) {
            m_times.erase(m_times.begin());
        }
    }

    /** Whether at least `age` has passed since `revision` or, if that isn't recorded, the next later one was first seen. */
    [[nodiscard]] bool isOlderThan(base::Revision revision, runtime::Clock::duration age) const
    {
        const std::scoped_lock lock(m_mutex);
        const auto seen = m_times.lower_bound(revision);
        return seen != m_times.end() && runtime::Clock::now() - seen->second >= age;
    }

private:
    static constexpr std::size_t MaxRevisions = 256;

    mutable std::mutex m_mutex;
    /** Guarded by m_mutex. */
    std::map<base::Revision, runtime::Instant> m_times;
};

template<store::KeyValueStore Store>
class BasicEntryControl
{
public:
    /** Registers its call handlers on the server, which must not have been started. All references must outlive the executor's work. */
    BasicEntryControl(const boost::asio::any_io_executor &executor,
                      const settings::Settings &settings,
                      base::Incarnation incarnation,
                      Store &store,
                      rpc::ChannelPool &channels,
                      rpc::Server &server,
                      metrics::Registry &registry)
        : m_state(std::make_shared<State>(executor, settings, incarnation, store, channels, registry))
    {
        m_state->node->enableRelayAssignment();
        m_state->node->registerOn(server);
    }

    ~BasicEntryControl()
    {
        m_state->stop();
    }

    /** Sets an additional check for configuration changes. Must be called before start(). */
    void setConfigCheck(typename config::ConfigWriter<Store>::Check check)
    {
        m_state->service.setCheck(std::move(check));
    }

    void start()
    {
        const auto &strand = m_state->node->strand;
        boost::asio::co_spawn(strand, m_state->node->runMaintenance(), boost::asio::detached);
        for (const auto &link : m_state->peers) {
            boost::asio::co_spawn(strand, link->run(), boost::asio::detached);
        }
        boost::asio::co_spawn(strand, m_state->registration->run(), boost::asio::detached);
        // The watcher's callback uses the state, so the completion handler keeps it alive.
        boost::asio::co_spawn(strand, m_state->watcher->run(), [state = m_state](const std::exception_ptr &) {});
    }

    [[nodiscard]] const runtime::Published<wire::Config> &config() const
    {
        return m_state->node->configHolder.config();
    }

    [[nodiscard]] const runtime::Published<MemberView> &members() const
    {
        return m_state->node->members();
    }

    /** Whether the configuration was confirmed at least once, by the store or by a valid permit of another entry. */
    [[nodiscard]] bool isReady() const
    {
        return m_state->node->freshness.validUntil() > runtime::Instant();
    }

    /** Handles requests to /v1/{templates,workspaces,datacentres,config,status,members}. */
    boost::asio::awaitable<http::Response> handleOperator(http::Request request)
    {
        const auto state = m_state;
        const std::string path(request.path());
        if (request.method == "GET" && path == "/v1/members") {
            co_return http::Response::json(200, membersJson(*state->node->members().load()));
        }
        if (request.method == "GET" && path == "/v1/status") {
            co_return http::Response::json(200, co_await statusJson());
        }
        if (request.method == "GET" && path == "/v1/config/in-force") {
            co_return co_await handleInForce(request.query("revision").value_or(""));
        }
        co_return co_await state->service.handle(std::move(request));
    }

    /** Response body of GET /v1/status. */
    boost::asio::awaitable<std::string> statusJson()
    {
        const auto state = m_state;
        EntryStatus status;
        status.id = state->node->settings.id;
        status.incarnation = state->incarnation;
        status.isReady = isReady();
        status.isLeaving = state->isLeaving;
        status.permitLifetime = state->node->settings.timing.permitLife;
        const runtime::Instant now = runtime::Clock::now();
        if (const runtime::Instant last = state->watcher->lastCurrent(); last > runtime::Instant()) {
            status.storeAge = std::chrono::floor<std::chrono::milliseconds>(now - last);
        }
        status.isCurrent = now < state->node->freshness.validUntil();
        const auto config = state->node->configHolder.config().load();
        status.revision = config->revision;
        status.dataCentres = co_await boost::asio::co_spawn(state->node->strand, readDataCentreStatuses(state->node), boost::asio::use_awaitable);
        co_return entryStatusJson(status, *config);
    }

    /** Announces that this entry has left, removes its registration from the store and stops. */
    boost::asio::awaitable<void> leave()
    {
        const auto state = m_state;
        state->isLeaving = true;
        boost::asio::post(state->node->strand, [node = state->node] {
            node->setMinimumState(wire::MemberState::Left);
            node->notifyChildren();
        });
        co_await state->registration->deregister();
        state->stop();
    }

private:
    struct State {
        State(const boost::asio::any_io_executor &executor,
              const settings::Settings &settings,
              base::Incarnation givenIncarnation,
              Store &store,
              rpc::ChannelPool &channels,
              metrics::Registry &registry)
            : incarnation(givenIncarnation)
            , node(std::make_shared<Node>(executor, settings, incarnation, registry))
            , service(store, node->configHolder, settings.id.value())
            , watcher(std::make_shared<config::ConfigWatcher<Store>>(store,
                                                                     node->configHolder,
                                                                     [this](base::Revision revision, runtime::Instant askedAt) {
                                                                         confirm(revision, askedAt);
                                                                     }))
            , registration(std::make_shared<EntryRegistration<Store>>(store, settings.id, settings.rpc))
        {
            for (const auto &peer : settings.entries) {
                if (peer != settings.rpc) {
                    peers.push_back(std::make_shared<PeerLink>(node, peer, channels));
                }
            }
        }

        void confirm(base::Revision revision, runtime::Instant askedAt)
        {
            revisionTimes.record(revision);
            node->confirmByStore(revision, askedAt);
        }

        void stop()
        {
            node->stop();
            watcher->stop();
        }

        const base::Incarnation incarnation;
        const std::shared_ptr<Node> node;
        RevisionTimes revisionTimes;
        config::ConfigService<Store> service;
        const std::shared_ptr<config::ConfigWatcher<Store>> watcher;
        const std::shared_ptr<EntryRegistration<Store>> registration;
        std::vector<std::shared_ptr<PeerLink>> peers;
        std::atomic<bool> isLeaving{false};
    };

    /** Must run on the node's strand. */
    static boost::asio::awaitable<std::vector<DataCentreStatus>> readDataCentreStatuses(std::shared_ptr<Node> node)
    {
        co_return node->dataCentreStatuses();
    }

    boost::asio::awaitable<http::Response> handleInForce(std::string text)
    {
        const auto state = m_state;
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size()) {
            co_return http::Response::json(400, config::errorJson("revision must be a whole number"));
        }
        InForceStatus inForce;
        inForce.revision = base::Revision(value);
        inForce.haveOlderPermitsExpired = state->revisionTimes.isOlderThan(inForce.revision, state->node->settings.timing.permitLife);
        inForce.dataCentres = co_await boost::asio::co_spawn(state->node->strand, readDataCentreStatuses(state->node), boost::asio::use_awaitable);
        co_return http::Response::json(200, inForceJson(inForce));
    }

    std::shared_ptr<State> m_state;
};

using EntryControl = BasicEntryControl<store::HttpStore>;

} // namespace plantainfork::membership
