#include "wire/declared_size.h"

#include <cstddef>
#include <cstdint>

#include <msgpack.hpp>

namespace plantainfork::wire
{

namespace
{

/** Follows the structure without building it. Each element takes at least a byte, so a sound message declares no more than it has. */
class SizeVisitor : public msgpack::null_visitor
{
public:
    explicit SizeVisitor(std::size_t available)
        : m_available(available)
    {
    }

    // The names of these functions are the library's.
    // NOLINTBEGIN(readability-identifier-naming)
    bool start_array(std::uint32_t count)
    {
        return enter(count);
    }
    bool end_array()
    {
        return leave();
    }
    bool start_map(std::uint32_t count)
    {
        return enter(2 * std::uint64_t(count));
    }
    bool end_map()
    {
        return leave();
    }
    void parse_error(std::size_t /*parsed*/, std::size_t /*position*/)
    {
        m_isSound = false;
    }
    void insufficient_bytes(std::size_t /*parsed*/, std::size_t /*position*/)
    {
        m_isSound = false;
    }
    // NOLINTEND(readability-identifier-naming)

    [[nodiscard]] bool isSound() const
    {
        return m_isSound;
    }

private:
    bool enter(std::uint64_t count)
    {
        m_declared += count;
        ++m_nesting;
        m_isSound = m_isSound && m_declared <= m_available && m_nesting <= MostNesting;
        return m_isSound;
    }
    bool leave()
    {
        --m_nesting;
        return true;
    }

    std::size_t m_available;
    std::uint64_t m_declared = 0;
    unsigned m_nesting = 0;
    bool m_isSound = true;
};

} // namespace

bool isDeclaredSizeSound(std::string_view bytes)
{
    SizeVisitor visitor(bytes.size());
    std::size_t offset = 0;
    return msgpack::parse(bytes.data(), bytes.size(), offset, visitor) && visitor.isSound();
}

} // namespace plantainfork::wire
