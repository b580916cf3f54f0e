#include "http/receive_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantainfork::http
{

std::shared_ptr<ReceiveBudget> ReceiveBudget::create(std::size_t limitBytes, metrics::Registry *registry)
{
    std::shared_ptr<ReceiveBudget> budget(new ReceiveBudget(limitBytes));
    if (registry != nullptr) {
        budget->m_heldGauge = &registry->gauge("plantainfork_http_receive_bytes");
        budget->m_limitGauge = &registry->gauge("plantainfork_http_receive_limit_bytes");
        budget->publish();
    }
    return budget;
}

ReceiveBudget::ReceiveBudget(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

bool ReceiveBudget::ensureAtLeast(std::size_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    if (m_limit >= bytes) {
        return false;
    }
    m_limit = bytes;
    publish();
    return true;
}

std::unique_ptr<ReceiveBudget::Account> ReceiveBudget::open(std::function<void()> shed)
{
    std::unique_ptr<Account> account(new Account(shared_from_this(), std::move(shed)));
    const std::scoped_lock lock(m_mutex);
    account->m_place = m_accounts.insert(m_accounts.end(), account.get());
    return account;
}

std::size_t ReceiveBudget::heldBytes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_held;
}

std::size_t ReceiveBudget::limitBytes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_limit;
}

/** Makes room for the account's next holding. False if there is none. */
bool ReceiveBudget::claim(Account &account, const Holding &next)
{
    const std::scoped_lock lock(m_mutex);
    const bool isRequest = next.kind == HoldingKind::UnfinishedRequest;
    if (isRequest && account.m_isShed) {
        return false;
    }
    // What was told to leave no longer counts: its connection frees it before it reads any more.
    while (next.bytes > account.m_holding.bytes && m_held - m_leaving - account.m_holding.bytes + next.bytes > m_limit) {
        auto *victim = accountToShed(account, next);
        if (victim == nullptr || victim == &account) {
            if (isRequest) {
                return false;
            }
            break;
        }
        victim->m_isShed = true;
        m_leaving += victim->m_holding.bytes;
        victim->m_shed();
    }
    // Many responses may be ready before the first connection that was told to leave does so.
    const bool isGrowing = next.bytes > account.m_holding.bytes;
    if (!isRequest && isGrowing && m_held - account.m_holding.bytes > m_limit && isLargestResponse(account, next)) {
        return false;
    }
    apply(account, next);
    return true;
}

/** No other account, told to leave or not, holds a larger response. */
bool ReceiveBudget::isLargestResponse(const Account &claimant, const Holding &next) const
{
    return std::all_of(m_accounts.begin(), m_accounts.end(), [&](const Account *other) {
        return other == &claimant || other->m_holding.kind != HoldingKind::UnreadResponse || other->m_holding.bytes <= next.bytes;
    });
}

/** The account to shed for a claim; the claimant itself only for an unfinished request. */
ReceiveBudget::Account *ReceiveBudget::accountToShed(const Account &claimant, const Holding &next) const
{
    std::vector<Holding> holdings;
    std::vector<Account *> accounts;
    for (auto *account : m_accounts) {
        const bool isClaimant = account == &claimant;
        if (account->m_isShed || (isClaimant && next.kind != HoldingKind::UnfinishedRequest)) {
            continue;
        }
        holdings.push_back(isClaimant ? next : account->m_holding);
        accounts.push_back(account);
    }
    const auto chosen = chooseHoldingToShed(holdings);
    return chosen ? accounts[*chosen] : nullptr;
}

void ReceiveBudget::apply(Account &account, const Holding &next)
{
    m_held -= account.m_holding.bytes;
    if (account.m_isShed) {
        m_leaving -= account.m_holding.bytes;
        account.m_isShed = false;
    }
    account.m_holding = next;
    m_held += next.bytes;
    publish();
}

void ReceiveBudget::publish()
{
    if (m_heldGauge != nullptr) {
        m_heldGauge->set(static_cast<std::int64_t>(m_held));
        m_limitGauge->set(static_cast<std::int64_t>(m_limit));
    }
}

ReceiveBudget::Account::Account(std::shared_ptr<ReceiveBudget> budget, std::function<void()> shed)
    : m_budget(std::move(budget))
    , m_shed(std::move(shed))
{
}

/** Leaves the gauges alone: a connection may be destroyed with its executor, after the registry. */
ReceiveBudget::Account::~Account()
{
    const std::scoped_lock lock(m_budget->m_mutex);
    m_budget->m_held -= m_holding.bytes;
    m_budget->m_leaving -= m_isShed ? m_holding.bytes : 0;
    m_budget->m_accounts.erase(m_place);
}

bool ReceiveBudget::Account::holdRequest(std::size_t bytes, runtime::Instant begin)
{
    return m_budget->claim(*this, {HoldingKind::UnfinishedRequest, bytes, begin});
}

bool ReceiveBudget::Account::holdResponse(std::size_t bytes, runtime::Instant begin)
{
    return m_budget->claim(*this, {HoldingKind::UnreadResponse, bytes, begin});
}

void ReceiveBudget::Account::settle(std::size_t bytes)
{
    const std::scoped_lock lock(m_budget->m_mutex);
    m_budget->apply(*this, {HoldingKind::Other, bytes, {}});
}

bool ReceiveBudget::Account::isShed() const
{
    const std::scoped_lock lock(m_budget->m_mutex);
    return m_isShed;
}

} // namespace plantainfork::http
