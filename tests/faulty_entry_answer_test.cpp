/// Runs an entry process against a plain service and an engine whose answers are broken.
#include "base/json.hpp"
#include "claims/claim.hpp"
#include "tests/support/deployment.hpp"
#include "tests/support/stream_client.hpp"

#include <gtest/gtest.h>

#include <string>

namespace jasminepier::tests
{
namespace
{

constexpr auto entry_port = static_cast<std::uint16_t>(entry_port_base + 1);
constexpr auto shop_port = static_cast<std::uint16_t>(service_port_base + 1);
constexpr auto engine_port = static_cast<std::uint16_t>(engine_port_base + 1);

bool has_error(backend::backend_response const& response, std::string const& code)
{
    return response.body.find("\"code\":\"" + code + "\"") != std::string::npos &&
           response.body.find(R"("execution":"unknown")") != std::string::npos;
}

/// A node before a plain service and an engine. Both answer as `set_raw_answer` says.
class faulty_entry_answer_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_deployment.start_service(1);
        m_deployment.start_engine(1, {"--step-milliseconds", "5"});
        m_deployment.start_node(1);
        ASSERT_TRUE(m_deployment.wait_until_ready(1));
        ASSERT_TRUE(wait_until([&] { return complete().status == 200; }));
        ASSERT_TRUE(wait_until([&] { return call("GET", "stock").status == 200; }));
    }

    /// An empty answer stands for a sound one.
    void set_raw_answer(std::string const& answer)
    {
        base::json_object faults = new Poco::JSON::Object;
        faults->set("raw_answer", answer);
        for (auto const port : {shop_port, engine_port})
            m_deployment.set_faults(port, base::write_json(faults));
    }

    backend::backend_response call(std::string const& method, std::string const& path,
                                   std::string const& body = "", std::string const& key = "")
    {
        std::map<std::string, std::string> headers;
        if (!key.empty())
            headers["Idempotency-Key"] = key;
        return m_deployment.call(entry_port, method, "/v1/services/shop/" + path, body, headers);
    }

    backend::backend_response complete()
    {
        return m_deployment.call(entry_port, "POST", "/v1/chat/completions",
                                 stream_body(5, "Which screws?", false));
    }

    int execution_count(std::string const& path_and_body)
    {
        auto const counts = m_deployment.call(shop_port, "GET", "/stand-in/count").body;
        return base::handle(
            [&]() -> base::result<int>
            {
                BOOST_LEAF_AUTO(document, base::parse_json_object(counts));
                return document->optValue<int>(path_and_body, 0);
            },
            [](base::error const&) { return -1; });
    }

    /// Checks that no caller gets the answer, that it isn't taken for a refusal, that an order with
    /// a key runs once, and that a completion that the engine runs is whole.
    void expect_not_forwarded(std::string const& answer)
    {
        SCOPED_TRACE(answer);
        auto const name = "oak-" + std::to_string(++m_order_count);
        set_raw_answer(answer);
        auto const order = call("POST", "orders", name, name);
        EXPECT_EQ(order.status, 502);
        EXPECT_TRUE(has_error(order, "server_failed") || has_error(order, "outcome_unknown"));
        auto const lookup = call("GET", "stock");
        EXPECT_EQ(lookup.status, 502);
        EXPECT_TRUE(has_error(lookup, "server_failed"));
        auto const update = call("POST", "notes", name);
        EXPECT_EQ(update.status, 502);
        EXPECT_TRUE(has_error(update, "server_failed"));
        auto const completion = complete();
        EXPECT_EQ(completion.status, 200);
        EXPECT_NE(completion.body.find(expected_text(5)), std::string::npos) << completion.body;
        set_raw_answer("");
        // The outcome of the order stays unknown.
        EXPECT_EQ(call("POST", "orders", name, name).status, 502);
        EXPECT_EQ(execution_count("/orders|" + name), 1);
        EXPECT_EQ(execution_count("/notes|" + name), 1);
        EXPECT_EQ(call("GET", "stock").status, 200);
        EXPECT_EQ(complete().status, 200);
    }

    /// Places an order and replaces `text` in its record in the store.
    void change_recorded_response(std::string const& key, std::string const& text,
                                  std::string const& replacement)
    {
        EXPECT_EQ(call("POST", "orders", key, key).status, 200);
        auto const name = claims::claim_name("demo", "shop", key);
        auto const stored =
            m_deployment.call(platform_port, "GET", "/objects/" + claims::claim_kind + "/" + name);
        auto record = base::handle(
            [&]() -> base::result<std::string>
            {
                BOOST_LEAF_AUTO(document, base::parse_json_object(stored.body));
                BOOST_LEAF_AUTO(value, base::read_object(document, "value"));
                return base::write_json(value);
            },
            [](base::error const& failure) { return failure.message; });
        auto const start = record.find(text);
        ASSERT_NE(start, std::string::npos) << record;
        m_deployment.put(claims::claim_kind, name, record.replace(start, text.size(), replacement));
    }

    /// Checks that the caller of an order whose record was changed gets no recorded response, and
    /// that the order doesn't run again.
    void expect_outcome_unknown(std::string const& key)
    {
        for (int i = 0; i < 2; ++i)
        {
            auto const repeated = call("POST", "orders", key, key);
            EXPECT_EQ(repeated.status, 502) << key;
            EXPECT_TRUE(has_error(repeated, "outcome_unknown")) << repeated.body;
        }
        EXPECT_EQ(execution_count("/orders|" + key), 1) << key;
    }

    deployment m_deployment{"127.0.23.1"};
    int m_order_count = 0;
};

// Guards against forwarding or recording a status that the protocol doesn't have.
TEST_F(faulty_entry_answer_test, status_outside_the_protocol_is_not_forwarded)
{
    for (std::string const status : {"000", "099", "600", "999"})
        expect_not_forwarded("HTTP/1.1 " + status + " Status\r\nContent-Length: 4\r\n\r\nbody");
}

// Guards against forwarding or recording status 000 in another form than that of a whole response
// with a length.
TEST_F(faulty_entry_answer_test, status_000_is_not_forwarded_in_any_form)
{
    std::string const begin = "HTTP/1.1 000 Status\r\nContent-Type: text/event-stream\r\n";
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n";
    for (std::string const& answer :
         {begin + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", begin + "\r\nbody",
          begin + "Content-Length: 0\r\n\r\n", begin + "Content-Length: 9\r\n\r\nbody",
          interim + begin + "Content-Length: 4\r\n\r\nbody",
          begin + "Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
          "\r\n" + begin + "Content-Length: 4\r\n\r\nbody",
          std::string("HTTP/1.0 000 Status\r\n\r\nbody"),
          std::string("HTTP/1.1 000\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 00 Status\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 0000 Status\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1  Status\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/2 000 Status\r\nContent-Length: 0\r\n\r\n"),
          std::string("Status: 000\r\nContent-Length: 0\r\n\r\n")})
        expect_not_forwarded(answer);
}

// Guards against sending a recorded response again that has no valid status. Versions that
// forwarded such responses recorded them with status 0, and records are kept for a day.
TEST_F(faulty_entry_answer_test, recorded_response_without_a_valid_status_is_not_sent)
{
    std::string const member = R"("status":)";
    // The last number is 2^32 + 200.
    for (std::string const& replacement :
         {member + "0", member + "99", member + "600", member + "null", member + "4294967496",
          std::string(R"("other":200)")})
    {
        auto const key = "ash-" + std::to_string(++m_order_count);
        change_recorded_response(key, member + "200", replacement);
        expect_outcome_unknown(key);
    }
    change_recorded_response("ash-sound", member + "200", member + "299");
    EXPECT_EQ(call("POST", "orders", "ash-sound", "ash-sound").status, 299);
}

// Guards against sending a recorded response again without the service's body, or with a header
// field that ends the head.
TEST_F(faulty_entry_answer_test, unreadable_recorded_response_is_not_sent)
{
    struct change
    {
        std::string text;
        std::string replacement;
    };
    for (auto const& [text, replacement] :
         {change{R"("body_base64":")", R"("body_base64":"%)"},
          change{R"("body_base64")", R"("other")"},
          change{R"("application/json")",
                 R"("text/plain\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 Status")"}})
    {
        auto const key = "fir-" + std::to_string(++m_order_count);
        change_recorded_response(key, text, replacement);
        expect_outcome_unknown(key);
    }
}

// Guards against forwarding or recording a response with a broken line in its head, or a body that
// such a line frames otherwise.
TEST_F(faulty_entry_answer_test, broken_field_line_is_not_forwarded)
{
    for (std::string const line : {"Na me: v", "Name : v", " Name: v", "Na\x01me: v",
                                   "Content-Length : 2", " Transfer-Encoding: chunked"})
        expect_not_forwarded("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + line +
                             "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
}

// Guards against forwarding or recording a body without its coding.
TEST_F(faulty_entry_answer_test, unknown_transfer_coding_is_not_forwarded)
{
    for (std::string const coding : {"gzip", "gzip, chunked", "chunked, chunked"})
        expect_not_forwarded("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: " +
                             coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
}

// Guards against rejecting unusual responses that the protocol allows.
TEST_F(faulty_entry_answer_test, responses_that_the_protocol_allows_are_forwarded)
{
    for (std::string const answer : {"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody",
                                     "HTTP/1.0 299 Caf\xe9\r\nEmpty:\r\n\r\nbody",
                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                     "Chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nName: v\r\n\r\n",
                                     "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"
                                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"})
    {
        set_raw_answer(answer);
        auto const lookup = call("GET", "stock");
        EXPECT_EQ(lookup.status / 100, 2) << answer;
        EXPECT_EQ(lookup.body, "body") << answer;
        auto const name = "elm-" + std::to_string(++m_order_count);
        EXPECT_EQ(call("POST", "orders", name, name).body, "body") << answer;
    }
}

// Guards against a false "not run": an engine that answers with a success or a redirection may run
// the generation.
TEST_F(faulty_entry_answer_test, unexpected_status_is_no_refusal)
{
    for (std::string const status : {"201 Created", "204 No Content", "302 Found"})
    {
        set_raw_answer("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
        auto const completion = complete();
        EXPECT_EQ(completion.status, 200) << status;
        EXPECT_NE(completion.body.find(expected_text(5)), std::string::npos) << completion.body;
    }
    set_raw_answer("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(complete().status, 400);
    set_raw_answer("");
    EXPECT_EQ(complete().status, 200);
}

} // namespace
} // namespace jasminepier::tests
