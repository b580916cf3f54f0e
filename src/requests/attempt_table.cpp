#include "requests/attempt_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace plantainfork::requests
{

namespace
{

std::size_t storedSize(const wire::ExecuteReply &answer)
{
    return sizeof(answer) + answer.body.size() + answer.contentType.size() + answer.reason.size();
}

wire::ExecuteReply droppedAnswerReply()
{
    wire::ExecuteReply reply;
    reply.outcome = wire::Outcome::Unknown;
    reply.reason = "the request ran, its answer is no longer kept";
    return reply;
}

} // namespace

AttemptTable::AttemptTable(AttemptTableBounds bounds)
    : m_bounds(bounds)
{
}

bool AttemptTable::evictIfFull()
{
    const runtime::Instant now = runtime::Clock::now();
    while (m_attempts.size() >= m_bounds.attempts) {
        const auto oldest = m_attempts.find(m_keysByInsertion.front());
        assert(oldest != m_attempts.end());
        const bool canEvict = oldest->second.state != wire::AttemptState::Running && now - oldest->second.updatedAt >= m_bounds.retention;
        if (!canEvict) {
            return false;
        }
        dropAnswer(oldest->second);
        m_attempts.erase(oldest);
        m_keysByInsertion.pop_front();
    }
    return true;
}

void AttemptTable::dropAnswer(Attempt &attempt)
{
    if (attempt.hasStoredAnswer) {
        m_answerBytes -= storedSize(attempt.answer);
        attempt.hasStoredAnswer = false;
        attempt.answer = droppedAnswerReply();
    }
}

AttemptTable::BeginResult AttemptTable::begin(const RequestKey &key)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_attempts.find(key);
    if (found != m_attempts.end()) {
        return found->second.state == wire::AttemptState::Barred ? BeginResult::Barred : BeginResult::Repeated;
    }
    if (!evictIfFull()) {
        return BeginResult::Full;
    }
    m_attempts[key].updatedAt = runtime::Clock::now();
    m_keysByInsertion.push_back(key);
    return BeginResult::Started;
}

void AttemptTable::storeAnswer(const RequestKey &key, Attempt &attempt, const wire::ExecuteReply &answer)
{
    attempt.answer = answer;
    attempt.hasStoredAnswer = true;
    m_answerBytes += storedSize(answer);
    m_answeredKeys.push_back(key);
    const auto isStale = [this](const RequestKey &candidate) {
        const auto found = m_attempts.find(candidate);
        return found == m_attempts.end() || !found->second.hasStoredAnswer;
    };
    while (!m_answeredKeys.empty() && (m_answerBytes > m_bounds.answerBytes || isStale(m_answeredKeys.front()))) {
        const auto oldest = m_attempts.find(m_answeredKeys.front());
        if (oldest != m_attempts.end()) {
            dropAnswer(oldest->second);
        }
        m_answeredKeys.pop_front();
    }
}

void AttemptTable::finish(const RequestKey &key, const wire::ExecuteReply &answer)
{
    std::vector<Completion> waiters;
    {
        const std::scoped_lock lock(m_mutex);
        Attempt &attempt = m_attempts.at(key);
        assert(attempt.state == wire::AttemptState::Running);
        waiters = std::exchange(attempt.waiters, {});
        if (answer.outcome == wire::Outcome::NotRun) {
            remove(key);
        } else {
            attempt.state = wire::AttemptState::Done;
            attempt.updatedAt = runtime::Clock::now();
            storeAnswer(key, attempt, answer);
        }
    }
    for (const auto &finished : waiters) {
        finished->set(true);
    }
}

void AttemptTable::remove(const RequestKey &key)
{
    m_attempts.erase(key);
    const auto latest = std::find(m_keysByInsertion.rbegin(), m_keysByInsertion.rend(), key);
    assert(latest != m_keysByInsertion.rend());
    m_keysByInsertion.erase(std::next(latest).base());
}

std::optional<AttemptTable::Found> AttemptTable::findOrBar(const RequestKey &key)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end()) {
        if (!evictIfFull()) {
            return std::nullopt;
        }
        Attempt &barred = m_attempts[key];
        barred.state = wire::AttemptState::Barred;
        barred.updatedAt = runtime::Clock::now();
        m_keysByInsertion.push_back(key);
        return Found{wire::AttemptState::Barred, {}, nullptr};
    }
    Attempt &attempt = found->second;
    Found result{attempt.state, attempt.answer, nullptr};
    if (attempt.state == wire::AttemptState::Running) {
        result.finished = std::make_shared<rpc::OneShot<bool>>();
        attempt.waiters.push_back(result.finished);
    }
    return result;
}

std::size_t AttemptTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_attempts.size();
}

} // namespace plantainfork::requests
