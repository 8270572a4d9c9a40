/// Sinks that write a completion to the caller, as an event stream or as a single JSON response.
#pragma once

#include "decision/generation_delivery.hpp"
#include "services/entry/completion_transport.hpp"
#include "services/entry/event_id.hpp"
#include "services/entry/http_messages.hpp"

#include <chrono>

namespace jasminepier::entry
{

/// Data for the response that both sinks need.
struct response_context
{
    std::string request_id;
    event_id_scope scope;
    /// Key that signs event ids. If it is empty, events have no ids.
    std::string event_id_key;
    std::int64_t created_seconds = 0;
};

/// Writes server-sent events. Writes nothing until the engine has responded or a first wait has
/// passed, so that an early failure is sent as an ordinary error response.
class stream_sink
{
public:
    stream_sink(response_context context, completion_transport const& transport,
                http_request& request, http_response& response)
        : m_context(std::move(context)), m_transport(transport), m_request(request),
          m_response(response)
    {
    }

    bool begin_response(std::int64_t delivered, std::uint64_t digest);
    bool deliver(decision::generation_token const& token, std::uint64_t digest);
    bool keep_alive();
    bool finish();

    /// Writes the error event that ends a failed stream.
    void write_error(base::error const& failure, std::int64_t delivered);
    /// Returns true if the response has begun.
    bool started() const noexcept { return m_out != nullptr; }

private:
    std::string event_id(std::int64_t delivered, std::uint64_t digest, bool complete) const;
    std::string chunk_prefix() const;
    bool start();
    bool write(std::string const& text);

    response_context m_context;
    completion_transport const& m_transport;
    http_request& m_request;
    http_response& m_response;
    std::ostream* m_out = nullptr;
    /// First event of the current generation, until it is written.
    std::string m_first_event;
    std::chrono::steady_clock::time_point m_last_write = std::chrono::steady_clock::now();
};

/// Collects the tokens and sends a single JSON response.
class buffered_sink
{
public:
    buffered_sink(response_context context, http_request& request, http_response& response)
        : m_context(std::move(context)), m_request(request), m_response(response)
    {
    }

    bool begin_response(std::int64_t, std::uint64_t) { return true; }
    bool deliver(decision::generation_token const& token, std::uint64_t digest);
    bool keep_alive();
    bool finish();

private:
    response_context m_context;
    http_request& m_request;
    http_response& m_response;
    base::json_object m_message = new Poco::JSON::Object;
    Poco::Dynamic::Var m_finish_reason;
    Poco::Dynamic::Var m_usage;
};

/// Merges the delta of an event into a message: appends strings and merges lists by `index`.
void merge_delta(Poco::JSON::Object& message, base::json_object const& delta);

} // namespace jasminepier::entry
