/** plantainforkd: runs the role that is named in the settings, entry or agent. */
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include "daemon/agent.h"
#include "daemon/entry.h"
#include "log/log.h"
#include "runtime/thread_pool.h"
#include "settings/settings.h"

namespace
{

using namespace plantainfork;

constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

constexpr const char *Usage = R"(plantainforkd: the daemon of plantainfork, as an entry or beside a target.

Usage:
  plantainforkd --settings=FILE [--check]
  plantainforkd --help
  plantainforkd --version

Options:
  --settings=FILE  The settings, in TOML.
  --check          Check the settings, print all findings as file:line:column and start nothing.
  -h, --help       Print this text.
  --version        Print the version.

Exit codes: 0 graceful stop, or settings without findings; 1 could not start; 2 settings with findings or bad usage.
SIGTERM and SIGINT stop it gracefully.
)";

std::string roleName(wire::MemberRole role)
{
    return role == wire::MemberRole::Entry ? "entry" : "agent";
}

/** Returns the wall clock time in microseconds, which increases with each start of a member. */
base::Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return base::Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

void logStart(const settings::Settings &settings, base::Incarnation incarnation)
{
    log::configure(settings.logSeverity, {{"role", roleName(settings.role)}, {"member", settings.id.value()}});
    log::write(log::Severity::Info,
               "daemon starting",
               {{"version", PLANTAINFORK_VERSION}, {"incarnation", std::to_string(incarnation.value())}, {"data_centre", settings.dataCentre.value()}});
    for (const auto mechanism : settings.disabled) {
        log::write(log::Severity::Warning, "mechanism disabled", {{"mechanism", std::string(settings::mechanismName(mechanism))}});
    }
}

/** Runs one role until a signal, then stops it gracefully. */
template<typename Role>
int run(const settings::Settings &settings)
{
    const base::Incarnation incarnation = newIncarnation();
    boost::asio::io_context context(static_cast<int>(settings.threads));
    // A signal that comes while the role is created waits for its turn.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    logStart(settings, incarnation);
    auto role = Role::create(context.get_executor(), settings, incarnation);
    if (!role.ok()) {
        log::write(log::Severity::Error, "daemon could not start", {{"reason", std::string(role.status().message())}});
        return ExitFailure;
    }
    auto stopThenEnd = [](Role *stopping, boost::asio::io_context *ending) -> boost::asio::awaitable<void> {
        log::write(log::Severity::Info, "daemon stopping");
        co_await stopping->stop();
        ending->stop();
    };
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            boost::asio::co_spawn(context, stopThenEnd(role->get(), &context), boost::asio::detached);
        }
    });
    runtime::ThreadPool threads(context, settings.threads);
    threads.join();
    log::write(log::Severity::Info, "daemon stopped");
    return ExitSuccess;
}

int runWithSettings(const std::string &path, bool isCheckOnly)
{
    const auto loaded = settings::load(path);
    if (const auto *findings = std::get_if<base::Findings>(&loaded)) {
        std::cerr << findings->text();
        return ExitBadSettings;
    }
    const auto &valid = std::get<settings::Settings>(loaded);
    if (isCheckOnly) {
        std::cout << path << ": no findings\n";
        return ExitSuccess;
    }
    return valid.role == wire::MemberRole::Entry ? run<daemon::Entry>(valid) : run<daemon::Agent>(valid);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        auto options = docopt::docopt_parse(Usage, arguments, true, true);
        return runWithSettings(options["--settings"].asString(), options["--check"].asBool());
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << Usage;
        return ExitSuccess;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "plantainforkd " << PLANTAINFORK_VERSION << "\n";
        return ExitSuccess;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "\n" << Usage;
        return ExitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "plantainforkd: " << error.what() << "\n";
        return ExitFailure;
    }
}
