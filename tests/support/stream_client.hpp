/// A caller of a streamed completion.
#pragma once

#include "backend/event_stream.hpp"
#include "tests/support/deployment.hpp"

namespace jasminepier::tests
{

/// What a caller received; `text` and `tokens` leave out events without a token index.
struct received_answer
{
    int status = 0;
    std::string text;
    std::vector<std::int64_t> tokens;
    std::string last_id;
    std::string error_code;
    std::int64_t error_delivered = -1;
    bool done = false;

    /// Adds one event.
    void take(backend::server_sent_event const& event);
};

class stream_client
{
public:
    stream_client(deployment& running, int node, std::string const& body,
                  std::map<std::string, std::string> headers = {});

    /// Reads until `tokens` tokens in total have arrived, or for 0 until the end of the stream.
    /// `answer` may already hold what an earlier client received.
    void read(received_answer& answer, std::size_t tokens = 0);
    /// Reads one event. Returns false at the end of the stream.
    bool read_one(received_answer& answer);

private:
    backend::http_exchange m_exchange;
    int m_status = 0;
    std::unique_ptr<backend::event_stream_reader> m_events;
};

/// Returns a request body whose answer has `tokens` tokens.
std::string stream_body(int tokens, std::string const& prompt = "Design a pergola.",
                        bool streamed = true);
/// Returns the text of an answer with `tokens` tokens.
std::string expected_text(int tokens);

} // namespace jasminepier::tests
