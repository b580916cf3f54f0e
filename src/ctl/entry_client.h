/** Calls the entries' HTTP interface from a program that does one thing at a time. */
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/message.h"
#include "wire/member_messages.h"

namespace plantainfork::ctl
{

/** When the same call may be made to another entry after one that gave no definite answer. */
enum class Repeat {
    /** Always: reads, and changes under an id by which a repeat is the same change. */
    Always,
    /** Only while every attempt so far is proven to have had no effect. */
    WhenProvenNotRun,
};

enum class CallOutcome {
    /** An entry gave a definite answer. */
    Answered,
    /** Proven to have had no effect. */
    NotRun,
    /** Some attempt may have taken effect. */
    Unknown,
};

struct CallResult {
    CallOutcome outcome = CallOutcome::NotRun;
    /** The answer when Answered, else the last indefinite one, if any. */
    http::Response response;
    /** Unless Answered: what each entry that was tried said. */
    std::string reason;
};

class EntryClient
{
public:
    /** `timeout` bounds each call over all entries that it tries. */
    EntryClient(std::vector<wire::Address> entries, std::chrono::milliseconds timeout);
    ~EntryClient();
    EntryClient(const EntryClient &) = delete;
    EntryClient &operator=(const EntryClient &) = delete;

    /** Tries the entries in turn until one gives a definite answer, or until no further attempt is allowed. */
    CallResult send(const http::Request &request, Repeat repeat);

    /** Blocks for a while, by the runtime's clock. */
    void sleep(std::chrono::milliseconds duration);

private:
    http::Exchange sendTo(const wire::Address &entry, const http::Request &request, runtime::Instant deadline);

    struct State;
    std::unique_ptr<State> m_state;
    std::vector<wire::Address> m_entries;
    std::chrono::milliseconds m_timeout;
    /** The entry that answered last is tried first. */
    std::size_t m_first = 0;
};

} // namespace plantainfork::ctl
