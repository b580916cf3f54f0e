#include "http/request_reader.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>

namespace plantainfork::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

/**
 * Memory of one header field beyond its text: Beast's node and the allocator's overhead. The shortest field takes 4 bytes on the wire,
 * so a header of many short ones holds far more than its text.
 */
constexpr std::size_t FieldOverheadBytes = 96;
constexpr std::size_t ShortestFieldBytes = 4;
/** Every chunked request that is not complete has at least these bytes to come: "0", two line ends. */
constexpr std::size_t LastChunkBytes = 5;

/** A body in a string whose capacity the reader controls; Beast's own reserves all of Content-Length before any of it arrives. */
struct ReservedBody {
    using value_type = std::string;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    class reader // NOLINT(readability-identifier-naming): Beast requires the name
    {
    public:
        template<bool isRequest, class Fields>
        explicit reader(beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }
        void init(const boost::optional<std::uint64_t> &, beast::error_code &error)
        {
            error = {};
        }
        template<class Buffers>
        std::size_t put(const Buffers &buffers, beast::error_code &error)
        {
            error = {};
            const std::size_t before = m_body.size();
            for (const auto part : beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(part.data()), part.size());
            }
            return m_body.size() - before;
        }
        void finish(beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

class RequestReader
{
public:
    RequestReader(Connection &connection, const Limits &limits)
        : m_connection(connection)
        , m_limits(limits)
        , m_arrival{runtime::Clock::now(), connection.buffer.size()}
    {
        m_parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser.body_limit(limits.bodyBytes);
        // One part of the request at a time, so that the budget is charged before each.
        m_parser.eager(false);
    }

    asio::awaitable<void> read()
    {
        while (parse() && checkProgress()) {
            if (!reserveBuffer()) {
                refuse(RefusalReason::Budget);
                break;
            }
            m_connection.setDeadline(latestProgress(m_arrival, m_limits));
            beast::error_code error;
            const auto space = m_connection.buffer.prepare(m_readBytes);
            const auto size = co_await m_connection.stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
            m_connection.buffer.commit(size);
            m_arrival.bytes += size;
            // A deadline or the budget ends the read with an error, and may come just after bytes were read.
            if (m_connection.account->isShed()) {
                refuse(RefusalReason::Budget);
                break;
            }
            if (error && !m_connection.hasExpired()) {
                m_result.isClosed = true;
                break;
            }
        }
        m_connection.setDeadline(runtime::Instant::max());
    }

    ReceivedRequest release()
    {
        if (!m_result.isClosed && !m_result.refused) {
            m_result.version = m_parser.get().version();
            m_result.isHead = m_parser.get().method() == beast::http::verb::head;
            m_result.wantsKeepAlive = m_parser.get().keep_alive();
            auto message = m_parser.release();
            m_result.request.method = std::string(message.method_string());
            m_result.request.target = std::string(message.target());
            for (const auto &field : message) {
                m_result.request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
            }
            m_result.request.body = std::move(message.body());
        }
        return std::move(m_result);
    }

private:
    void refuse(RefusalReason reason, std::string detail = {})
    {
        m_result.refused = reason;
        m_result.detail = std::move(detail);
    }

    [[nodiscard]] bool isChunked() const
    {
        return m_parser.is_header_done() && m_parser.chunked();
    }

    /** Parses what the buffer holds. True if more has to be read. */
    bool parse()
    {
        // Beast 1.74 asserts that a last chunk which it has seen in part comes with all of these bytes.
        while (m_connection.buffer.size() >= (isChunked() ? LastChunkBytes : 1)) {
            if (!reserveForParse()) {
                refuse(RefusalReason::Budget);
                return false;
            }
            const bool isHeader = !m_parser.is_header_done();
            beast::error_code error;
            const auto used = m_parser.put(m_connection.buffer.data(), error);
            if (isHeader) {
                m_headerBytes += used;
                m_fieldBytes += parsedFieldBytes(used);
            }
            m_connection.buffer.consume(used);
            if (error && error != beast::http::error::need_more) {
                refuse(reasonOf(error), error.message());
                return false;
            }
            // Beast starts to count anew when a read ends with a whole line.
            if (m_headerBytes > m_limits.headerBytes) {
                refuse(RefusalReason::Header);
                return false;
            }
            if (m_parser.is_done()) {
                return false;
            }
            if (error) {
                return true;
            }
        }
        return true;
    }

    /** False if the request is refused because of what it has sent so far. */
    bool checkProgress()
    {
        const std::size_t waiting = m_connection.buffer.size();
        if (!m_parser.is_header_done() && m_headerBytes + waiting >= m_limits.headerBytes) {
            refuse(RefusalReason::Header);
        } else if (isChunked() && waiting >= m_limits.headerBytes) {
            // The line of the last chunk ends, and the trailers behind it do not; or no line of a chunk ends.
            const auto text = bufferText();
            const bool hasLineEndOfData = text.rfind("\r\n", 0) == 0;
            if (text.find("\r\n", hasLineEndOfData ? 2 : 0) != std::string_view::npos) {
                refuse(RefusalReason::Header);
            } else {
                refuse(RefusalReason::Framing, "chunk extensions are larger than the limit");
            }
        } else if (const auto late = lateness(m_arrival, m_limits, runtime::Clock::now()); late != Lateness::InTime) {
            refuse(late == Lateness::TooLong ? RefusalReason::Arrival : RefusalReason::Pace);
        }
        return !m_result.refused;
    }

    [[nodiscard]] std::string_view bufferText() const
    {
        const auto data = m_connection.buffer.data();
        return {static_cast<const char *>(data.data()), data.size()};
    }

    /** What the fields in the buffer's first bytes will hold once they are parsed. */
    [[nodiscard]] std::size_t parsedFieldBytes(std::size_t bytes) const
    {
        const auto text = bufferText().substr(0, bytes);
        return bytes + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) * FieldOverheadBytes;
    }

    /** Charges what parsing the buffer can add, then makes room for it in the body. */
    bool reserveForParse()
    {
        if (!m_parser.is_header_done()) {
            return hold(m_connection.buffer.capacity(), m_parser.get().body().capacity(), parsedFieldBytes(m_connection.buffer.size()));
        }
        auto &body = m_parser.get().body();
        const auto length = m_parser.content_length();
        const std::size_t most = length ? static_cast<std::size_t>(*length) : m_limits.bodyBytes;
        const std::size_t needed = std::min(most, body.size() + m_connection.buffer.size());
        const std::size_t capacity = bodyCapacity(body.capacity(), needed, most);
        if (!hold(m_connection.buffer.capacity(), capacity, 0)) {
            return false;
        }
        if (capacity > body.capacity()) {
            // std::string::reserve() would at least double it, also beyond the limit.
            std::string larger;
            larger.reserve(capacity);
            larger.append(body);
            body.swap(larger);
        }
        return true;
    }

    /** Charges the growth of the read buffer for the next read. */
    bool reserveBuffer()
    {
        const auto &buffer = m_connection.buffer;
        const std::size_t room = readBufferLimit(m_limits) - buffer.size();
        std::size_t wanted = FirstReadBytes;
        if (m_parser.is_header_done()) {
            const auto remaining = m_parser.content_length_remaining();
            wanted = remaining ? static_cast<std::size_t>(std::min<std::uint64_t>(*remaining, room)) : room;
        }
        const std::size_t free = buffer.capacity() - buffer.size();
        m_readBytes = std::max<std::size_t>(1, std::min(room, std::max(wanted, free)));
        // As flat_buffer::prepare() grows.
        const std::size_t grown = std::min(readBufferLimit(m_limits), std::max(2 * buffer.size(), buffer.size() + m_readBytes));
        return hold(m_readBytes <= free ? buffer.capacity() : grown, m_parser.get().body().capacity(), 0);
    }

    bool hold(std::size_t buffer, std::size_t body, std::size_t newFields)
    {
        return m_connection.account->holdRequest(buffer + body + m_fieldBytes + newFields, m_arrival.begin);
    }

    Connection &m_connection;
    const Limits &m_limits;
    beast::http::request_parser<ReservedBody> m_parser;
    Arrival m_arrival;
    /** Bytes of the header that are parsed. */
    std::size_t m_headerBytes = 0;
    /** What the fields that are parsed hold. */
    std::size_t m_fieldBytes = 0;
    std::size_t m_readBytes = 0;
    ReceivedRequest m_result;
};

} // namespace

std::size_t largestRequestBytes(const Limits &limits)
{
    const std::size_t fields = limits.headerBytes + limits.headerBytes / ShortestFieldBytes * FieldOverheadBytes;
    return readBufferLimit(limits) + fields + limits.bodyBytes;
}

asio::awaitable<ReceivedRequest> readRequest(Connection &connection, const Limits &limits)
{
    RequestReader reader(connection, limits);
    co_await reader.read();
    co_return reader.release();
}

} // namespace plantainfork::http
