#include "scenario/process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <utility>

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/try.h"
#include "runtime/timer.h"

namespace plantainfork::scenario
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds PollInterval{5};
constexpr int ExecFailed = 127;

std::vector<char *> pointers(std::vector<std::string> &texts)
{
    std::vector<char *> all;
    for (auto &text : texts) {
        all.push_back(text.data());
    }
    all.push_back(nullptr);
    return all;
}

std::vector<std::string> environmentWith(const std::map<std::string, std::string> &added)
{
    std::vector<std::string> all;
    for (char **entry = environ; *entry != nullptr; ++entry) {
        all.emplace_back(*entry);
    }
    for (const auto &[name, value] : added) {
        std::string entry = name;
        entry += "=" + value;
        all.push_back(entry);
    }
    return all;
}

} // namespace

Process::~Process()
{
    if (isRunning()) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

absl::Status Process::start(const Command &command)
{
    if (isRunning()) {
        return absl::FailedPreconditionError("already runs");
    }
    m_logFile = command.logFile;
    m_logStart = std::max<std::streamoff>(0, std::ifstream(m_logFile, std::ios::ate).tellg());
    auto arguments = command.arguments;
    auto environment = environmentWith(command.environment);
    const auto argumentPointers = pointers(arguments);
    const auto environmentPointers = pointers(environment);
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        // Sockets that this process closes later must not stay open in the other one: their far ends would not notice.
        ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), CLOSE_RANGE_CLOEXEC);
        if (::getppid() == parent) {
            ::execve(argumentPointers[0], argumentPointers.data(), environmentPointers.data());
        }
        ::_exit(ExecFailed);
    }
    ::close(log);
    return m_pid > 0 ? absl::OkStatus() : absl::InternalError("fork failed");
}

absl::Status Process::signal(int number)
{
    if (!isRunning()) {
        return absl::FailedPreconditionError("doesn't run");
    }
    return ::kill(m_pid, number) == 0 ? absl::OkStatus() : absl::InternalError("kill failed");
}

bool Process::isRunning()
{
    if (m_pid <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    m_exitCode = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    m_pid = 0;
    return false;
}

asio::awaitable<absl::StatusOr<int>> Process::end(std::chrono::milliseconds limit)
{
    const auto deadline = runtime::Clock::now() + limit;
    while (isRunning()) {
        if (runtime::Clock::now() > deadline) {
            co_return absl::DeadlineExceededError("still runs after " + std::to_string(limit.count()) + " ms");
        }
        co_await runtime::sleepFor(PollInterval);
    }
    co_return m_exitCode;
}

asio::awaitable<absl::StatusOr<std::string>> Process::readyLine(std::chrono::milliseconds limit)
{
    const auto deadline = runtime::Clock::now() + limit;
    while (runtime::Clock::now() < deadline && isRunning()) {
        std::ifstream log(m_logFile);
        log.seekg(m_logStart);
        std::string line;
        while (std::getline(log, line) && !log.eof()) {
            if (line.rfind("listening", 0) == 0 || line.rfind("control", 0) == 0) {
                co_return line;
            }
        }
        co_await runtime::sleepFor(PollInterval);
    }
    co_return absl::UnavailableError("did not say that it is ready");
}

} // namespace plantainfork::scenario
