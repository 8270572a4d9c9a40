#include "store/store_connection.hpp"

#include "http/client_exchange.hpp"
#include "http/wait_set.hpp"

#include <algorithm>

namespace jasminepier::store
{
namespace
{

using base::error_kind;

// 400 ms, a fifth of the 2 s within which a stored configuration must be in force.
constexpr std::chrono::milliseconds cancellation_check_interval{400};
// Once a response has begun it must keep up this rate, so that one that trickles does not occupy
// the caller without end. The slowest links of entry VMs are several times as fast.
constexpr std::int64_t minimum_bytes_per_millisecond = 128;

std::string format_address(http_object_store_settings const& settings)
{
    return settings.host + ":" + std::to_string(settings.port);
}

std::string write_http_request(http_object_store_settings const& settings,
                               store_request const& request)
{
    http::request message;
    message.method = request.method;
    message.target = request.path;
    message.headers.add("Host", format_address(settings));
    message.headers.add("Connection", "close");
    if (!request.condition_name.empty())
        message.headers.add(request.condition_name, request.condition);
    if (!request.body.empty())
        message.headers.add("Content-Type", "application/json");
    message.body = request.body;
    return http::write_request(message);
}

base::error make_failure(std::string const& reason)
{
    return {error_kind::platform_unavailable, "the request to the platform " + reason};
}

/// One call to the store, from the connection to the end of the response.
class store_call
{
public:
    store_call(http_object_store_settings const& settings, store_request const& request,
               std::chrono::milliseconds timeout)
        : m_settings(settings), m_timeout(timeout), m_start(m_clock.now()),
          m_exchange(format_address(settings), write_http_request(settings, request), true, m_start)
    {
    }

    /// Returns the reason if the call failed.
    std::optional<base::error> run(std::function<bool()> const& is_cancelled)
    {
        http::wait_set poll_set;
        auto next_cancellation_check = m_start + cancellation_check_interval;
        while (!m_exchange.ended())
        {
            auto const now = m_clock.now();
            if (now >= deadline())
                return make_failure("timed out");
            bool const may_cancel = is_cancelled && !m_response_start;
            if (may_cancel && now >= next_cancellation_check)
            {
                if (is_cancelled())
                    return make_failure("was cancelled");
                next_cancellation_check = now + cancellation_check_interval;
            }
            poll_set.clear();
            poll_set.add(m_exchange.descriptor(), m_exchange.poll_events());
            poll_set.wait(may_cancel ? std::min(deadline(), next_cancellation_check) : deadline());
            m_exchange.advance(poll_set.ready(0));
            take_received();
            if (m_body.size() > maximum_response_bytes)
                m_exchange.fail_as_oversized();
        }
        if (m_exchange.complete())
            return std::nullopt;
        return make_failure("failed: " + std::string(http::to_string(m_exchange.failure())));
    }

    store_response take_response()
    {
        return {m_exchange.head().status, m_exchange.head().headers, std::move(m_body)};
    }

private:
    void take_received()
    {
        if (!m_response_start && m_exchange.head_received())
            m_response_start = m_clock.now();
        if (m_response_start)
            m_body += m_exchange.take_body();
    }

    base::time_point deadline() const
    {
        if (m_response_start)
            return *m_response_start + m_settings.call_timeout +
                   std::chrono::milliseconds(static_cast<std::int64_t>(m_body.size()) /
                                             minimum_bytes_per_millisecond);
        return m_start +
               (m_exchange.connected() ? m_timeout : std::min(m_timeout, m_settings.call_timeout));
    }

    base::steady_clock_source m_clock;
    http_object_store_settings const& m_settings;
    std::chrono::milliseconds m_timeout;
    base::time_point m_start;
    /// When the head of the response was complete.
    std::optional<base::time_point> m_response_start;
    http::client_exchange m_exchange;
    std::string m_body;
};

} // namespace

base::error_kind error_kind_for_status(int status) noexcept
{
    if (status == 404)
        return error_kind::not_found;
    if (status == 410)
        return error_kind::conflict;
    return status == 429 ? error_kind::rate_limited : error_kind::platform_unavailable;
}

base::result<store_response> perform_request(http_object_store_settings const& settings,
                                             store_request const& request,
                                             std::chrono::milliseconds timeout,
                                             std::function<bool()> const& is_cancelled)
{
    store_call call(settings, request, timeout);
    if (auto const failure = call.run(is_cancelled))
        return base::fail(failure->kind, failure->message);
    return call.take_response();
}

} // namespace jasminepier::store
