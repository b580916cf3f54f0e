#include <catch2/catch.hpp>

#include "control_cluster.h"

using namespace plantainfork;
using namespace std::chrono_literals;

TEST_CASE("Every entry knows all members, and every agent receives the configuration and a permit")
{
    tests::ControlCluster cluster(3, 12);
    REQUIRE(cluster.runUntil([&] {
        return std::all_of(cluster.entries.begin(), cluster.entries.end(), [](const auto &entry) {
            return entry->control.members().load()->members.size() == 15;
        });
    }));
    REQUIRE(cluster.setMode(0, "lima-0", "in").status == 200);
    REQUIRE(cluster.runUntil([&] {
        return cluster.allAgents([](const tests::AgentHost &agent) {
            return agent.control.config().load()->revision == base::Revision(1) && agent.control.permitGate().isOpen();
        });
    }));
    REQUIRE(cluster.runUntil([&] {
        return cluster.sendOperatorRequest(2, {"GET", "/v1/config/in-force?revision=1", {}, ""}).body.find(R"("inForce":true,"revision":1)")
            != std::string::npos;
    }));
}

TEST_CASE("Taking a data centre out closes the permit gates, and returning it opens them")
{
    tests::ControlCluster cluster(1, 4);
    const auto waitForGates = [&](bool isOpen) {
        return cluster.runUntil([&cluster, isOpen] {
            return cluster.allAgents([isOpen](const tests::AgentHost &agent) {
                return agent.control.permitGate().isOpen() == isOpen;
            });
        });
    };
    REQUIRE(waitForGates(true));
    REQUIRE(cluster.setMode(0, "lima-0", "out").status == 200);
    REQUIRE(waitForGates(false));
    REQUIRE(cluster.setMode(0, "lima-0", "in").status == 200);
    REQUIRE(waitForGates(true));
}

TEST_CASE("Permits expire in a store outage, but not if one entry loses the store while another reads it")
{
    tests::ControlCluster cluster(2, 6);
    const auto isOpen = [](const tests::AgentHost &agent) {
        return agent.control.permitGate().isOpen();
    };
    REQUIRE(cluster.runUntil([&] {
        return cluster.allAgents(isOpen);
    }));
    cluster.entries[0]->store.setDown(true);
    const auto outageStart = runtime::Clock::now();
    REQUIRE(cluster.runUntil([&] {
        return runtime::Clock::now() - outageStart > 5s;
    }));
    REQUIRE(cluster.allAgents(isOpen));
    cluster.entries[1]->store.setDown(true);
    REQUIRE(cluster.runUntil([&] {
        return cluster.allAgents([&isOpen](const tests::AgentHost &agent) {
            return !isOpen(agent);
        });
    }));
    cluster.entries[0]->store.setDown(false);
    REQUIRE(cluster.runUntil([&] {
        return cluster.allAgents(isOpen);
    }));
}

TEST_CASE("Agents beyond the fan-out use relays, and fall back when a relay fails")
{
    tests::ControlCluster cluster(2, 60, 8);
    const auto children = [&](std::size_t entry) {
        return cluster.entries[entry]->registry.gauge("plantainfork_children").value();
    };
    const auto entriesKnow = [&](std::size_t count) {
        return cluster.entries[0]->control.members().load()->members.size() == count && cluster.entries[1]->control.members().load()->members.size() == count;
    };
    REQUIRE(cluster.runUntil([&] {
        // Eight relays, and each entry counts the other one.
        return entriesKnow(62) && children(0) + children(1) <= 8 + 2;
    }));
    REQUIRE(cluster.setMode(0, "lima-0", "in").status == 200);
    REQUIRE(cluster.runUntil([&] {
        return cluster.allAgents([](const tests::AgentHost &agent) {
            return agent.control.config().load()->revision == base::Revision(1) && agent.control.permitGate().isOpen();
        });
    }));
    const auto relay = std::find_if(cluster.agents.begin(), cluster.agents.end(), [](const auto &agent) {
        return agent->registry.gauge("plantainfork_children").value() > 1;
    });
    REQUIRE(relay != cluster.agents.end());
    cluster.killAgent(static_cast<std::size_t>(relay - cluster.agents.begin()));
    REQUIRE(cluster.runUntil([&] {
        return entriesKnow(61);
    }));
    REQUIRE(cluster.setMode(1, "lima-0", "in").status == 200);
    REQUIRE(cluster.runUntil([&] {
        return cluster.allAgents([](const tests::AgentHost &agent) {
            return agent.control.config().load()->revision == base::Revision(2) && agent.control.permitGate().isOpen();
        });
    }));
}
