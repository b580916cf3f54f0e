/**
 * The units of a job that have a state of their own, by their numbers within the job. A step may have thousands of equal units that have never
 * been started; those of a large job are added one by one as the planner gets to them, so a job's memory follows from what it runs, not from
 * what it asks for.
 */
#pragma once

#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

namespace plantainfork::batch
{

/** Ordered by number. Units stay at their addresses until they are removed. */
template<typename T>
class UnitTable
{
    using Entries = std::map<std::size_t, T>;

public:
    /** Visits the units in the order of their numbers. */
    template<typename Base, typename Value>
    class BasicIterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = T;
        using difference_type = std::ptrdiff_t;
        using pointer = Value *;
        using reference = Value &;

        BasicIterator() = default;
        explicit BasicIterator(Base base)
            : m_base(base)
        {
        }

        reference operator*() const
        {
            return m_base->second;
        }
        pointer operator->() const
        {
            return &m_base->second;
        }
        /** Number of the unit within its job. */
        [[nodiscard]] std::size_t number() const
        {
            return m_base->first;
        }
        BasicIterator &operator++()
        {
            ++m_base;
            return *this;
        }
        BasicIterator operator++(int)
        {
            return BasicIterator(m_base++);
        }
        bool operator==(const BasicIterator &other) const
        {
            return m_base == other.m_base;
        }

    private:
        friend class UnitTable;
        Base m_base;
    };
    using Iterator = BasicIterator<typename Entries::iterator, T>;
    using ConstIterator = BasicIterator<typename Entries::const_iterator, const T>;

    [[nodiscard]] Iterator begin()
    {
        return Iterator(m_entries.begin());
    }
    [[nodiscard]] Iterator end()
    {
        return Iterator(m_entries.end());
    }
    [[nodiscard]] ConstIterator begin() const
    {
        return ConstIterator(m_entries.begin());
    }
    [[nodiscard]] ConstIterator end() const
    {
        return ConstIterator(m_entries.end());
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

    /** Null if the table doesn't have the unit. */
    [[nodiscard]] T *find(std::size_t number)
    {
        const auto found = m_entries.find(number);
        return found != m_entries.end() ? &found->second : nullptr;
    }
    /** The table must have the unit. */
    [[nodiscard]] T &at(std::size_t number)
    {
        return m_entries.at(number);
    }
    /** Adds a unit, which the table must not have yet. */
    T &add(std::size_t number, T unit)
    {
        return m_entries.emplace_hint(m_entries.end(), number, std::move(unit))->second;
    }
    Iterator erase(Iterator position)
    {
        return Iterator(m_entries.erase(position.m_base));
    }

private:
    Entries m_entries;
};

} // namespace plantainfork::batch
