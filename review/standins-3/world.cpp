/** A small deployment on loopback addresses: the daemons as processes, and stand-ins of the store, the executors and the requesters. */
#include <algorithm>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <iterator>

#include "executor.h"
#include "store.h"

namespace
{

using namespace world;

constexpr std::uint16_t StorePort = 8524;
constexpr std::uint16_t FrontendPort = 8521;
constexpr std::uint16_t ReadinessPort = 8523;
constexpr std::uint16_t ControlPort = 8526;
constexpr std::uint16_t AppPort = 8529;
constexpr std::uint16_t FirstPort = 7000;
constexpr auto Key = "d4a3hwrr6x73d3zji9n7";

enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

struct Host {
    std::string zone;
    std::vector<std::string> labels;
    Room room;
};

/** Replaces the placeholders of a template as DEPLOY.md tells; sections only over Seeds. */
std::string render(std::string text, const std::map<std::string, std::string> &values, const std::vector<std::string> &seeds)
{
    const std::string open = "{{#Seeds}}";
    const std::string close = "{{/Seeds}}";
    if (const auto begin = text.find(open); begin != std::string::npos) {
        const auto end = text.find(close, begin);
        const std::string part = text.substr(begin + open.size(), end - begin - open.size());
        std::string all;
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            all += render(part, {{".", seeds[i]}, {",", i + 1 < seeds.size() ? "," : ""}}, {});
        }
        text.replace(begin, end + close.size() - begin, all);
    }
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const auto end = text.find("}}", at);
        const auto value = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
    }
    return text;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

/** A job of one task that takes a core and an accelerator for `work` milliseconds, with its data on the rack. */
Json taskNearData(int work, const std::string &rack)
{
    const Json step{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 1000}, {"Gpu", 1}, {"EstimateMs", work}, {"Affinity", rack}};
    return {{"Spec", "work=" + std::to_string(work)}, {"Steps", Json::array({step})}};
}

/** A job of one task on each host. */
Json taskOnEachHost(std::size_t hosts)
{
    const Json step{{"Count", hosts}, {"Cpu", 1000}, {"MemMb", 1000}, {"Gpu", 1}, {"EstimateMs", 300}, {"AntiAffinity", 1}};
    return {{"Spec", "work=300"}, {"Steps", Json::array({step})}};
}

class World
{
public:
    World(asio::io_context &context, std::string recordFile, const std::vector<Host> &hosts, unsigned entries)
        : m_context(context)
        , m_record(recordFile)
        , m_folder(std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(::getpid())))
        , m_net("127." + std::to_string(16 + ::getpid() / 200 % 200) + "." + std::to_string(1 + ::getpid() % 200) + ".")
    {
        std::filesystem::create_directories(m_folder);
        const auto executor = context.get_executor();
        store = std::make_unique<Store>(executor);
        m_storeServer = std::make_unique<Server>(executor, Address{m_net + "1", StorePort}, [this](Request request) {
            return store->answer(std::move(request));
        });
        putPolicy(1, 3.0);
        for (unsigned i = 0; i < entries; ++i) {
            m_entries.push_back(m_net + std::to_string(10 + i));
            m_seeds.push_back(m_entries.back() + ":" + std::to_string(ControlPort));
        }
        for (unsigned i = 0; i < entries; ++i) {
            startDaemon("entry", i, m_entries[i], "azrou-corral");
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const std::string ip = m_net + std::to_string(100 + i);
            executors.push_back(
                std::make_unique<Executor>(executor,
                                           "i-" + std::to_string(i + 1),
                                           Address{ip, AppPort},
                                           Address{ip, ControlPort},
                                           hosts[i].zone,
                                           hosts[i].labels,
                                           hosts[i].room,
                                           Bounds(),
                                           [this](const std::string &event, const std::string &task, std::uint64_t attempt, const std::string &id) {
                                               note("run " + event + ": task " + task + " attempt " + std::to_string(attempt) + " at " + id);
                                               runs.push_back({event, task, attempt, id, Clock::now()});
                                           }));
            startDaemon("agent", static_cast<unsigned>(i), ip, hosts[i].zone);
        }
    }
    ~World()
    {
        m_daemons.clear();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
    }
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void note(const std::string &text)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begin).count();
        m_record << ms << " " << text << std::endl;
    }

    /** One queue for each priority, 0 to 2, with its number as its prefix. */
    void putPolicy(unsigned version, double slack)
    {
        Json routes = Json::array();
        for (int priority = 0; priority < 3; ++priority) {
            routes.push_back({{"Name", "r-" + std::to_string(priority)},
                              {"Host", "nony24.example"},
                              {"Prefix", "/q" + std::to_string(priority) + "/"},
                              {"Kind", "non_idempotent"},
                              {"TimeoutMs", 3000},
                              {"TargetDurationMs", 1500},
                              {"Priority", priority},
                              {"Service", "huvo11a"},
                              {"MaxAttempts", 3},
                              {"SlackFactor", slack},
                              {"Public", false}});
        }
        const Json service{{"Name", "huvo11a"}, {"HealthPath", "/healthz"}, {"MaxConns", 64}, {"Preconditions", true}, {"Standby", false}};
        const Json tenant{{"Name", "kaje80"}, {"ApiKeys", {Key}}, {"Priority", 1}};
        const Json limits{{"MaxHeaderBytes", 16'384}, {"MaxBodyBytes", 262'144}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15'000}};
        const Json state{{"Version", version},
                         {"Routes", routes},
                         {"Services", Json::array({service})},
                         {"Limits", limits},
                         {"Tenants", Json::array({tenant})}};
        store->put("op/config", state.dump());
    }

    /** Sends a call of a requester to an entry, as the platform's balancer would. */
    asio::awaitable<Reply> ask(std::string method, std::string target, std::string body = "", unsigned entry = 0)
    {
        Call call = callOf(std::move(method), std::move(target), std::move(body), entry);
        const Reply reply = co_await send(std::move(call));
        co_return reply;
    }

    /** Hands a job in, with four retries; true if it was accepted. */
    asio::awaitable<bool> submit(unsigned priority, std::string id, Json job)
    {
        for (unsigned attempt = 0; attempt < 5; ++attempt) {
            const std::string target = "/q" + std::to_string(priority) + "/" + id;
            const std::string body = job.dump();
            const Reply reply = co_await ask("POST", target, body, attempt);
            note("POST " + target + " " + body + " -> " + std::to_string(reply.status));
            if (reply.status / 100 == 2) {
                co_return true;
            }
            co_await pause(1000ms);
        }
        co_return false;
    }

    /** The job's state, or the status of an answer without one. */
    asio::awaitable<std::string> state(unsigned priority, std::string id)
    {
        const std::string target = "/q" + std::to_string(priority) + "/" + id;
        const Reply reply = co_await ask("GET", target);
        std::string text = std::to_string(reply.status);
        if (reply.status == 200) {
            text = Json::parse(reply.body).at("State").get<std::string>();
        }
        note("GET " + target + " -> " + text);
        co_return text;
    }

    /** Waits until the job has the state; false if it hasn't within the time. */
    asio::awaitable<bool> reaches(unsigned priority, std::string id, std::string wanted, std::chrono::milliseconds time)
    {
        const auto until = Clock::now() + time;
        while (Clock::now() < until) {
            const std::string now = co_await state(priority, id);
            if (now == wanted) {
                co_return true;
            }
            co_await pause(500ms);
        }
        co_return false;
    }

    /** Waits until all entries are ready and a small job has been done. */
    asio::awaitable<bool> isServing()
    {
        const auto until = Clock::now() + 20s;
        while (Clock::now() < until) {
            unsigned ready = 0;
            for (const auto &entry : m_entries) {
                Call call;
                call.to = {entry, ReadinessPort};
                call.target = "/plantainfork/readyz";
                const Reply reply = co_await send(std::move(call));
                ready += reply.status == 200 ? 1 : 0;
            }
            if (ready == m_entries.size()) {
                break;
            }
            co_await pause(200ms);
        }
        while (Clock::now() < until && !std::all_of(executors.begin(), executors.end(), [](const auto &executor) {
                   return executor->isHeld();
               })) {
            co_await pause(100ms);
        }
        // From its first listing on the scheduler knows an executor.
        co_await pause(2s);
        const Json job = taskOnEachHost(executors.size());
        const bool isAccepted = co_await submit(1, "00000000000000aa", job);
        const bool isDone = isAccepted && co_await reaches(1, "00000000000000aa", "complete", 15s);
        co_return isDone;
    }

    /** Parts of the service's room in use, by cores and by accelerators. */
    [[nodiscard]] double use() const
    {
        double cpu = 0;
        double gpu = 0;
        double allCpu = 0;
        double allGpu = 0;
        for (const auto &executor : executors) {
            if (executor->isUp()) {
                cpu += static_cast<double>(executor->room().cpu - executor->free().cpu);
                gpu += static_cast<double>(executor->room().gpu - executor->free().gpu);
                allCpu += static_cast<double>(executor->room().cpu);
                allGpu += static_cast<double>(executor->room().gpu);
            }
        }
        return std::max(cpu / allCpu, gpu / allGpu);
    }

    [[nodiscard]] bool hasDaemonEnded()
    {
        bool hasEnded = false;
        for (const auto &daemon : m_daemons) {
            hasEnded = daemon.second->hasEnded() || hasEnded;
        }
        return hasEnded;
    }
    Process &daemon(const std::string &name)
    {
        return *m_daemons.at(name);
    }

    struct Event {
        std::string what;
        std::string task;
        std::uint64_t attempt = 0;
        std::string executor;
        Clock::time_point at;
    };

    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<Event> runs;

private:
    [[nodiscard]] Call callOf(std::string method, std::string target, std::string body, unsigned entry) const
    {
        return {{m_entries[entry % m_entries.size()], FrontendPort},
                std::move(method),
                std::move(target),
                {{"Host", "nony24.example"}, {"X-Api-Key", Key}, {"X-Plantainfork-Deadline-Ms", "3000"}, {"Content-Type", "application/json"}},
                std::move(body),
                3000ms};
    }
    void startDaemon(const std::string &role, unsigned index, const std::string &ip, const std::string &zone)
    {
        const std::string name = role + "-" + std::to_string(index + 1);
        const auto at = [&ip](std::uint16_t port) {
            return ip + ":" + std::to_string(port);
        };
        const bool isEntry = role == "entry";
        const std::map<std::string, std::string> values{{"NodeName", name},
                                                        {"Region", "atlas-north"},
                                                        {"Zone", zone},
                                                        {"Ip", ip},
                                                        {"PortRange.0", std::to_string(FirstPort)},
                                                        {"Listen.Frontend", at(FrontendPort)},
                                                        {"Listen.Readiness", at(ReadinessPort)},
                                                        {"Listen.Control", at(ControlPort)},
                                                        {"app", at(AppPort)},
                                                        {"platform.Addr", m_net + "1:" + std::to_string(StorePort)},
                                                        {"Bounds.HoldMaxMs", "10000"},
                                                        {"Bounds.KillGraceMs", "900"},
                                                        {"Bounds.RevokeMs", "5000"},
                                                        {"Bounds.RemoteFactor", "3"},
                                                        {"Bounds.GraceS", "6"},
                                                        {"Limits.CpuShare", isEntry ? "0.25" : "0.15"},
                                                        {"Limits.MemoryMb", isEntry ? "260" : "128"}};
        const std::string settings = (m_folder / (name + ".toml")).string();
        std::ofstream(settings) << render(readFile("deploy/" + role + ".toml.template"), values, m_seeds);
        auto process = std::make_unique<Process>();
        process->start({"target/bin/plantainfork-batchd", "--settings=" + settings}, (m_folder / (name + ".log")).string());
        m_daemons[name] = std::move(process);
    }

    asio::io_context &m_context;
    std::ofstream m_record;
    Clock::time_point m_begin = Clock::now();
    std::filesystem::path m_folder;
    std::string m_net;
    std::unique_ptr<Server> m_storeServer;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_seeds;
    std::map<std::string, std::unique_ptr<Process>> m_daemons;
};

using Case = asio::awaitable<Verdict> (*)(World &, bool);

/** LOST: whether the task's turn has come and nothing of its job runs for 3 s, from 14 s (`finish_s`) after the last hand-in on. */
asio::awaitable<Verdict> watchForLoss(World &world, unsigned priority, std::string id)
{
    co_await pause(14s);
    for (unsigned look = 0; look < 30; ++look) {
        co_await pause(100ms);
        for (const auto &executor : world.executors) {
            if (executor->isRunning(id + ".0.0.0")) {
                world.note("the task runs");
                co_return Verdict::Held;
            }
        }
    }
    const std::string state = co_await world.state(priority, id);
    world.note("part of the service's room in use: " + std::to_string(world.use()));
    if (state == "complete") {
        co_return Verdict::Held;
    }
    if (world.use() >= 0.5 || world.hasDaemonEnded()) {
        co_return Verdict::NotRun;
    }
    // Whether it goes on so is for the record only.
    co_await pause(20s);
    co_await world.state(priority, id);
    co_return Verdict::Broken;
}

/** Seven executors, three a rack, so that the last stands alone. */
const std::vector<Host> RackOfOne{{"tafraout-fold", {"a", "r2-0"}, {}},
                                  {"tafraout-fold", {"a", "r2-0"}, {}},
                                  {"tafraout-fold", {"a", "r2-0"}, {}},
                                  {"tafraout-fold", {"a", "r2-1"}, {}},
                                  {"tafraout-fold", {"a", "r2-1"}, {}},
                                  {"tafraout-fold", {"a", "r2-1"}, {}},
                                  {"azrou-corral", {"a", "r1-1"}, {}}};
/** Place of the one that stands alone. */
constexpr std::size_t Alone = 6;

const std::vector<Host> FourHosts{{"azrou-corral", {"a", "r1-0"}, {}},
                                  {"azrou-corral", {"a", "r1-0"}, {}},
                                  {"azrou-corral", {"a", "r1-0"}, {}},
                                  {"azrou-corral", {"a", "r1-1"}, {}}};

/** The executor on the rack of a task's data crashes once under the task, and is back after 2 s. */
asio::awaitable<Verdict> crashOnDataRack(World &world, bool hasTrouble)
{
    const std::string id = "51e0000000000001";
    const Json job = taskNearData(4000, "r1-1");
    const bool isAccepted = co_await world.submit(1, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_await pause(1500ms);
    if (hasTrouble) {
        world.note("the executor on rack r1-1 crashes");
        world.executors[Alone]->crash();
        co_await pause(2s);
        world.note("it is back");
        world.executors[Alone]->begin();
    }
    co_return co_await watchForLoss(world, 1, id);
}

/** The executor on the rack of a task's data fails what it starts for 3 s. */
asio::awaitable<Verdict> failureOnDataRack(World &world, bool hasTrouble)
{
    const std::string id = "51e0000000000002";
    world.executors[Alone]->setFailing(hasTrouble);
    const Json job = taskNearData(4000, "r1-1");
    const bool isAccepted = co_await world.submit(1, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_await pause(1s);
    world.executors[Alone]->setFailing(false);
    co_return co_await watchForLoss(world, 1, id);
}

/** A job of tasks that last, of which each needs this many accelerators. */
Json lastingTasks(unsigned count, unsigned accelerators, const std::string &label, const std::string &rack)
{
    Json step{{"Count", count}, {"Cpu", 4000}, {"MemMb", 4000}, {"Gpu", accelerators}, {"EstimateMs", 10'000}, {"LongRunning", true}, {"AntiAffinity", 1}};
    if (!label.empty()) {
        step["Requirements"] = label;
    }
    if (!rack.empty()) {
        step["Affinity"] = rack;
    }
    return {{"Spec", "lasts cpu=4000 mem=4000 gpu=" + std::to_string(accelerators)}, {"Steps", Json::array({step})}};
}

/** Empties an executor and takes it away, as the platform does: it drains, is served for a while, says goodbye and ends. */
asio::awaitable<void> scaleIn(World &world, std::size_t index)
{
    auto &executor = *world.executors[index];
    world.note("executor " + executor.id() + " drains, and leaves in 4 s");
    executor.setDraining(4s);
    co_await pause(4s);
    co_await executor.sayGoodbye();
    executor.crash();
    world.note("executor " + executor.id() + " has left");
}

const std::vector<Host> TwoKinds{{"azrou-corral", {"a", "r1-0"}, {}},
                                 {"azrou-corral", {"a", "r1-1"}, {}},
                                 {"azrou-corral", {"b", "r1-2"}, {}},
                                 {"azrou-corral", {"b", "r1-2"}, {}},
                                 {"azrou-corral", {"b", "r1-2"}, {}}};

/** The executor with a task that lasts is taken away, and the task moves to the rack of another task's data. */
asio::awaitable<Verdict> lastingOnDataRack(World &world, bool hasTrouble)
{
    const Json lasting = lastingTasks(1, 8, "a", "r1-1");
    const bool isLasting = co_await world.submit(2, "51e00000000000f1", lasting);
    if (!isLasting) {
        co_return Verdict::NotRun;
    }
    co_await pause(3s);
    if (hasTrouble) {
        co_await scaleIn(world, 1);
    }
    co_await pause(4s);
    const std::string id = "51e0000000000003";
    const Json job = taskNearData(4000, "r1-0");
    const bool isAccepted = co_await world.submit(1, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_return co_await watchForLoss(world, 1, id);
}

/** Large jobs come at once: four tasks that need a whole executor each, while a task that lasts is on each executor. */
asio::awaitable<Verdict> reservedBehindLasting(World &world, bool hasTrouble)
{
    const Json lasting = lastingTasks(4, 1, "", "");
    const bool isLasting = co_await world.submit(2, "51e00000000000f2", lasting);
    if (!isLasting) {
        co_return Verdict::NotRun;
    }
    co_await pause(4s);
    if (hasTrouble) {
        const Json largeStep{{"Count", 4}, {"Cpu", 1000}, {"MemMb", 1000}, {"Gpu", 8}, {"EstimateMs", 8000}};
        const Json large{{"Spec", "work=8000 gpu=8"}, {"Steps", Json::array({largeStep})}};
        const bool isLarge = co_await world.submit(1, "51e00000000000f3", large);
        if (!isLarge) {
            co_return Verdict::NotRun;
        }
    }
    const std::string id = "51e0000000000004";
    const Json step{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 1000}, {"Gpu", 1}, {"EstimateMs", 4000}};
    const Json job{{"Spec", "work=4000"}, {"Steps", Json::array({step})}};
    const bool isAccepted = co_await world.submit(2, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_return co_await watchForLoss(world, 2, id);
}

/** The gang's only free rack loses one of its two executors; on the other racks its tasks have room only if the gang is spread over them. */
asio::awaitable<Verdict> gangBesideLasting(World &world, bool hasTrouble)
{
    // Two executors in each of three racks get a task that lasts; the two of rack r2-0 are left free.
    Json lasting = lastingTasks(2, 5, "b", "r2-1");
    for (const char *rack : {"r2-2", "r2-3"}) {
        const Json more = lastingTasks(2, 5, "b", rack);
        lasting["Steps"].push_back(more.at("Steps").at(0));
    }
    lasting["Spec"] = "lasts cpu=4000 mem=4000 gpu=5;lasts cpu=4000 mem=4000 gpu=5;lasts cpu=4000 mem=4000 gpu=5";
    const bool isLasting = co_await world.submit(2, "51e00000000000f4", lasting);
    if (!isLasting) {
        co_return Verdict::NotRun;
    }
    co_await pause(4s);
    if (hasTrouble) {
        co_await scaleIn(world, 0);
        co_await pause(2s);
    }
    const std::string id = "51e0000000000006";
    const Json step{{"Count", 3}, {"Cpu", 1000}, {"MemMb", 1000}, {"Gpu", 3}, {"EstimateMs", 3000}, {"Gang", true}, {"SameRack", true}, {"Requirements", "b"}};
    const Json job{{"Spec", "work=3000 gpu=3"}, {"Steps", Json::array({step})}};
    const bool isAccepted = co_await world.submit(1, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_return co_await watchForLoss(world, 1, id);
}

/** An executor is unhealthy and answers each start with 503 for 6.5 s; the jobs that wait for it are counted. */
asio::awaitable<Verdict> pendingCount(World &world, bool hasTrouble)
{
    auto &executor = *world.executors[Alone];
    if (hasTrouble) {
        world.note("executor i-7 is unhealthy, and answers starts with 503");
        executor.setBusy(true);
    }
    const auto begin = Clock::now();
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i) {
        ids.push_back("51e000000000001" + std::to_string(i));
        const Json job = taskNearData(8000, "r1-1");
        const bool isAccepted = co_await world.submit(1, ids.back(), job);
        if (!isAccepted) {
            co_return Verdict::NotRun;
        }
    }
    const auto accepted = Clock::now();
    // Jobs count that were accepted over visible_ms + 2 s before.
    co_await pause(5100ms);
    unsigned waiting = 0;
    for (const auto &id : ids) {
        const bool hasBegun = std::any_of(world.runs.begin(), world.runs.end(), [&](const World::Event &event) {
            return event.task.starts_with(id);
        });
        waiting += hasBegun ? 0 : 1;
    }
    unsigned wrong = 0;
    for (unsigned entry = 0; entry < 2; ++entry) {
        const Reply reply = co_await world.ask("GET", "/q1/", "", entry);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - accepted);
        world.note("GET /q1/ at entry " + std::to_string(entry + 1) + " -> " + std::to_string(reply.status) + " " + reply.body + ", "
                   + std::to_string(age.count()) + " ms after the last hand-in; jobs that have not begun: " + std::to_string(waiting));
        if (reply.status == 200 && 2 * Json::parse(reply.body).at("Pending").get<unsigned>() < waiting) {
            ++wrong;
        }
    }
    if (begin + 6500ms > Clock::now()) {
        co_await pause(std::chrono::duration_cast<std::chrono::milliseconds>(begin + 6500ms - Clock::now()));
    }
    executor.setBusy(false);
    world.note("executor i-7 is healthy again");
    co_await pause(2s);
    co_return wrong > 0 ? Verdict::Broken : Verdict::Held;
}

/** Executors are unhealthy and answer each start with 503 for 6.5 s, while their zone is evacuated or they drain. */
asio::awaitable<Verdict> staleStart(World &world, bool hasTrouble, bool isEvacuation)
{
    const std::string id = "51e0000000000005";
    auto &executor = *world.executors[Alone];
    if (hasTrouble) {
        world.note("executor i-7 is unhealthy, and answers starts with 503");
        executor.setBusy(true);
    }
    const auto begin = Clock::now();
    const Json job = taskNearData(4000, "r1-1");
    const bool isAccepted = co_await world.submit(1, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_await pause(500ms);
    auto told = Clock::now();
    if (isEvacuation) {
        world.store->put("op/evacuate/azrou-corral", "{}");
        world.note("zone azrou-corral is evacuated, which the store has acknowledged");
    } else {
        executor.setDraining(20s);
        world.note("executor i-7 drains, with 20 s left");
        while (!executor.drainHeardAt()) {
            co_await pause(10ms);
        }
        told = *executor.drainHeardAt();
        world.note("its agent has acknowledged that it drains");
    }
    const auto bound = isEvacuation ? 5000ms : 3000ms;
    if (begin + 6500ms > Clock::now()) {
        co_await pause(std::chrono::duration_cast<std::chrono::milliseconds>(begin + 6500ms - Clock::now()));
    }
    executor.setBusy(false);
    world.note("executor i-7 is healthy again");
    co_await pause(3s);
    for (const auto &event : world.runs) {
        if (event.what == "started" && event.task == id + ".0.0.0" && event.executor == "i-7") {
            const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(event.at - told);
            world.note("the task started there " + std::to_string(after.count()) + " ms after the acknowledgement; the bound is "
                       + std::to_string(bound.count()));
            if (after > bound) {
                co_return Verdict::Broken;
            }
        }
    }
    co_return Verdict::Held;
}
asio::awaitable<Verdict> staleStartEvacuated(World &world, bool hasTrouble)
{
    return staleStart(world, hasTrouble, true);
}
asio::awaitable<Verdict> staleStartDraining(World &world, bool hasTrouble)
{
    return staleStart(world, hasTrouble, false);
}

const std::vector<Host> ThreeRacks{{"azrou-corral", {"b", "r2-0"}, {}},
                                   {"azrou-corral", {"b", "r2-0"}, {}},
                                   {"azrou-corral", {"b", "r2-1"}, {}},
                                   {"azrou-corral", {"b", "r2-1"}, {}},
                                   {"azrou-corral", {"b", "r2-2"}, {}},
                                   {"azrou-corral", {"b", "r2-2"}, {}},
                                   {"azrou-corral", {"b", "r2-3"}, {}},
                                   {"azrou-corral", {"b", "r2-3"}, {}},
                                   {"azrou-corral", {"a", "r1-0"}, {}},
                                   {"azrou-corral", {"a", "r1-0"}, {}},
                                   {"azrou-corral", {"a", "r1-0"}, {}}};

/** Tasks of an hour run, one on each executor, and make a percent of progress each 36 s; a small job is handed in beside them. */
asio::awaitable<Verdict> besideLongTasks(World &world, bool hasTrouble)
{
    if (hasTrouble) {
        const Json step{{"Count", 4}, {"Cpu", 4000}, {"MemMb", 4000}, {"Gpu", 1}, {"EstimateMs", 3'600'000}, {"AntiAffinity", 1}};
        const Json job{{"Spec", "work=3600000 cpu=4000 mem=4000"}, {"Steps", Json::array({step})}};
        const bool isLong = co_await world.submit(1, "51e00000000000f5", job);
        if (!isLong) {
            co_return Verdict::NotRun;
        }
    }
    co_await pause(5s);
    const std::string id = "51e0000000000007";
    const Json step{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 1000}, {"Gpu", 1}, {"EstimateMs", 4000}};
    const Json job{{"Spec", "work=4000"}, {"Steps", Json::array({step})}};
    const bool isAccepted = co_await world.submit(1, id, job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_return co_await watchForLoss(world, 1, id);
}

/** One task of ten minutes alone on four executors; how often it is stopped. */
asio::awaitable<Verdict> longTask(World &world, bool hasTrouble)
{
    const int work = hasTrouble ? 600'000 : 60'000;
    const Json step{{"Count", 1}, {"Cpu", 4000}, {"MemMb", 4000}, {"Gpu", 1}, {"EstimateMs", work}};
    const Json job{{"Spec", "work=" + std::to_string(work) + " cpu=4000 mem=4000"}, {"Steps", Json::array({step})}};
    const bool isAccepted = co_await world.submit(1, "51e0000000000008", job);
    if (!isAccepted) {
        co_return Verdict::NotRun;
    }
    co_await pause(60s);
    const auto stops = std::count_if(world.runs.begin(), world.runs.end(), [](const World::Event &event) {
        return event.what == "stopped";
    });
    world.note("times it was stopped within a minute: " + std::to_string(stops));
    co_return stops > 0 ? Verdict::Broken : Verdict::Held;
}

struct Entry {
    const char *name;
    Case run;
    const std::vector<Host> *hosts;
};

/** The first five are the cases of the folders 11 to 15; the others show more of the same, or what is no case. */
const std::vector<Entry> Cases{{"crash-on-data-rack", crashOnDataRack, &RackOfOne},
                               {"reserved-behind-lasting", reservedBehindLasting, &FourHosts},
                               {"gang-beside-lasting", gangBesideLasting, &ThreeRacks},
                               {"pending-count", pendingCount, &RackOfOne},
                               {"stale-start-evacuated", staleStartEvacuated, &RackOfOne},
                               {"failure-on-data-rack", failureOnDataRack, &RackOfOne},
                               {"lasting-on-data-rack", lastingOnDataRack, &TwoKinds},
                               {"long-task", longTask, &FourHosts},
                               {"stale-start-draining", staleStartDraining, &RackOfOne},
                               {"beside-long-tasks", besideLongTasks, &FourHosts}};

std::string describe(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    }
}

asio::awaitable<void> play(World &world, Case run, bool hasTrouble, Verdict &verdict)
{
    const bool isServing = co_await world.isServing();
    if (isServing) {
        verdict = co_await run(world, hasTrouble);
    }
    world.note(verdict == Verdict::Broken ? "the rule was broken" : verdict == Verdict::Held ? "the rule held" : "the case could not run");
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const std::string record = argc > 2 ? argv[2] : "record.txt";
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    for (const auto &entry : Cases) {
        if (name != entry.name) {
            continue;
        }
        auto verdict = Verdict::NotRun;
        try {
            asio::io_context context(1);
            World world(context, record, *entry.hosts, 2);
            asio::co_spawn(context, play(world, entry.run, hasTrouble, verdict), [&](const std::exception_ptr &failure) {
                if (failure) {
                    verdict = Verdict::NotRun;
                    world.note("the case ended with an exception: " + describe(failure));
                }
                context.stop();
            });
            asio::signal_set stops(context, SIGTERM, SIGINT);
            stops.async_wait([&context](const boost::system::error_code &, int) {
                context.stop();
            });
            context.run_for(110s);
        } catch (const std::exception &error) {
            std::cerr << error.what() << "\n";
        }
        std::cout << name << ": " << (verdict == Verdict::Broken ? "broken" : verdict == Verdict::Held ? "held" : "not run") << "\n";
        return static_cast<int>(verdict);
    }
    std::cerr << "no such case: " << name << "\n";
    return static_cast<int>(Verdict::NotRun);
}
