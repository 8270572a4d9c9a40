/// Client for streamed completions.
#pragma once

#include "backend/event_stream.hpp"
#include "tests/support/deployment.hpp"

namespace jasminepier::tests
{

/// What a caller received of a completion, possibly over several connections. `tokens` contains the
/// received token indices; `text` and `tokens` omit events without a token index.
struct received_completion
{
    int status = 0;
    std::string text;
    std::vector<std::int64_t> tokens;
    std::string last_event_id;
    std::string error_code;
    std::int64_t error_delivered_tokens = -1;
    bool done = false;

    void add_event(backend::server_sent_event const& event);
};

class stream_client
{
public:
    stream_client(deployment& test_deployment, int node, std::string const& body,
                  std::map<std::string, std::string> headers = {});

    /// Appends events to `completion` until it has `tokens` tokens; for 0, until the stream ends.
    void read(received_completion& completion, std::size_t tokens = 0);
    /// Reads one event. Returns false at the end of the stream.
    bool read_event(received_completion& completion);

private:
    backend::http_exchange m_exchange;
    int m_status = 0;
    std::unique_ptr<backend::event_stream_reader> m_events;
};

/// Returns a request body for a completion of `tokens` tokens.
std::string stream_body(int tokens, std::string const& prompt = "Design a pergola.",
                        bool streamed = true);
/// Returns the text of a completion of `tokens` tokens.
std::string expected_text(int tokens);

} // namespace jasminepier::tests
