/**
 * Read-copy-update publication of an immutable value: readers on the path of a request never wait for a
 * writer, and a writer replaces the whole value.
 */
#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include <urcu/urcu-bp.h>

namespace plantainfork::runtime
{

template<typename T>
class Published
{
public:
    explicit Published(std::shared_ptr<const T> initial)
        : m_current(new Cell{std::move(initial)})
    {
    }
    Published(const Published &) = delete;
    Published &operator=(const Published &) = delete;
    ~Published()
    {
        delete m_current;
    }

    /** The value published last. The caller may keep it across suspension points; it doesn't change. */
    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = __atomic_load_n(&m_current, __ATOMIC_ACQUIRE)->value;
        urcu_bp_read_unlock();
        return value;
    }

    /** Replaces the value. Waits for readers inside load(), which is microseconds. */
    void publish(std::shared_ptr<const T> next)
    {
        auto *fresh = new Cell{std::move(next)};
        const std::scoped_lock lock(m_writers);
        Cell *old = __atomic_exchange_n(&m_current, fresh, __ATOMIC_ACQ_REL);
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    struct Cell {
        std::shared_ptr<const T> value;
    };

    /** Never null. Freed only after a grace period has passed since it was replaced. */
    Cell *m_current;
    /** Orders writers among themselves; readers don't take it. */
    std::mutex m_writers;
};

} // namespace plantainfork::runtime
