#include "services/entry/http_messages.hpp"

#include "base/clock.hpp"
#include "services/entry/caller_memory.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <thread>

namespace jasminepier::entry
{
namespace
{

/// A request without either header field has no body (RFC 9112, section 6.3).
bool has_body(http_request const& request)
{
    return request.getChunkedTransferEncoding() || request.hasContentLength();
}

// A body exists a second time while its memory grows, and later in the request that is sent on.
constexpr std::size_t copies = 2;

/// Charges a body that is being received to the connection of the calling thread.
class body_memory
{
public:
    explicit body_memory(std::optional<std::size_t> announced_bytes)
        : m_announced_bytes(announced_bytes)
    {
        if (m_holder != nullptr)
            m_holder->set_stage(http::holder_stage::receiving);
    }
    body_memory(body_memory const&) = delete;
    body_memory& operator=(body_memory const&) = delete;
    ~body_memory()
    {
        if (m_holder == nullptr)
            return;
        m_holder->set_stage(http::holder_stage::serving);
        if (!m_kept)
            m_holder->hold(current_head_bytes());
    }
    /// Waits until `body` can grow by `count` bytes, and adds the time to `end`. Returns false if
    /// the connection is evicted.
    bool make_room(std::string& body, std::size_t count, base::time_point& end)
    {
        if (m_holder == nullptr)
            return true;
        auto const start = base::steady_clock_source{}.now();
        m_holder->record_progress(start);
        // A body of the announced length doesn't grow any further.
        if (m_announced_bytes)
            count = std::min(count, *m_announced_bytes - std::min(*m_announced_bytes, body.size()));
        auto const needed = body.size() + count;
        if (needed <= body.capacity())
            return !m_holder->evicted();
        auto const capacity =
            std::max(m_announced_bytes.value_or(body.capacity() + body.capacity() / 2), needed);
        while (!m_holder->evicted() &&
               !m_holder->try_hold_or_evict(current_head_bytes() + copies * capacity,
                                            base::steady_clock_source{}.now()))
            std::this_thread::sleep_for(room_poll_interval);
        if (m_holder->evicted())
            return false;
        // The string's own growth would at least double it.
        std::string grown;
        grown.reserve(capacity);
        grown.append(body);
        body.swap(grown);
        end += base::steady_clock_source{}.now() - start;
        return true;
    }
    bool evicted() const { return m_holder != nullptr && m_holder->evicted(); }
    /// Leaves the body charged until the request ends.
    void keep() noexcept { m_kept = true; }

private:
    http::memory_holder* m_holder = current_caller_memory();
    std::optional<std::size_t> m_announced_bytes;
    bool m_kept = false;
};

} // namespace

void send_json(http_response& response, int status, base::json_object const& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    auto const text = base::write_json(body);
    response.sendBuffer(text.data(), text.size());
}

base::json_object error_body(base::error const& failure)
{
    auto const& row = base::error_response_for(failure.kind);
    base::json_object detail = new Poco::JSON::Object;
    detail->set("message", failure.message);
    detail->set("type", std::string(row.type));
    detail->set("code", std::string(row.code));
    detail->set("execution", std::string(base::to_string(row.execution)));
    base::json_object body = new Poco::JSON::Object;
    body->set("error", detail);
    return body;
}

void send_error(http_response& response, base::error const& failure)
{
    auto const& row = base::error_response_for(failure.kind);
    response.set("Jasminepier-Execution", std::string(base::to_string(row.execution)));
    if (row.retry_after_seconds > 0)
        response.set("Retry-After", std::to_string(row.retry_after_seconds));
    send_json(response, row.http_status, error_body(failure));
}

base::result<std::string> read_body(http_request& request)
{
    auto const too_large = []
    { return base::fail(base::error_kind::payload_too_large, "the body is too large"); };
    auto const announced = request.getContentLength64();
    if (announced > static_cast<Poco::Int64>(maximum_body_bytes))
        return too_large();
    if (!has_body(request))
        return std::string{};
    body_memory memory(announced < 0 ? std::nullopt
                                     : std::optional(static_cast<std::size_t>(announced)));
    auto end = base::steady_clock_source{}.now() + maximum_body_time;
    std::string body;
    std::array<char, 8192> buffer{};
    auto& in = request.stream();
    while (in.peek() != std::char_traits<char>::eof())
    {
        if (!memory.make_room(body, buffer.size(), end))
            break;
        auto const count = in.readsome(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (body.size() > maximum_body_bytes)
            return too_large();
        if (base::steady_clock_source{}.now() > end)
            return base::fail(base::error_kind::bad_request, "the body arrived too slowly");
    }
    if (memory.evicted())
        return base::fail(base::error_kind::overloaded, "no memory is left for the body");
    if (announced >= 0 && static_cast<Poco::Int64>(body.size()) != announced)
        return base::fail(base::error_kind::bad_request, "the body is incomplete");
    memory.keep();
    return body;
}

void discard_body(http_request& request)
{
    if (!has_body(request))
        return;
    constexpr std::size_t maximum_discarded_bytes = 8 * maximum_body_bytes;
    constexpr std::chrono::seconds maximum_time{5};
    auto const end = std::chrono::steady_clock::now() + maximum_time;
    std::array<char, 8192> buffer{};
    auto& in = request.stream();
    for (std::size_t discarded = 0; discarded < maximum_discarded_bytes &&
                                    std::chrono::steady_clock::now() < end &&
                                    in.peek() != std::char_traits<char>::eof();)
        discarded += static_cast<std::size_t>(in.readsome(buffer.data(), buffer.size()));
}

} // namespace jasminepier::entry
