/// Tests which recorded responses a claim gives back.
#include "claims/claim.hpp"
#include "tests/support/concatenate.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace jasminepier::claims
{
namespace
{

using tests::concatenate;

std::optional<claim_record> read_claim(std::string const& text)
{
    return base::handle(
        [&]() -> base::result<std::optional<claim_record>>
        {
            BOOST_LEAF_AUTO(record, parse_claim(text));
            return std::optional(std::move(record));
        },
        [](base::error const&) { return std::optional<claim_record>(); });
}

/// `response` holds the members that describe the recorded response.
std::optional<claim_record> read_claim_with(std::string const& state, std::string const& response)
{
    return read_claim(
        concatenate({R"({"state":")", state,
                     R"(","nonce":"nonce","node":"node-1","request_hash":"hash","time":1)",
                     response.empty() ? "" : ",", response, "}"}));
}

void expect_invalid_response(std::string const& response)
{
    SCOPED_TRACE(response);
    auto const record = read_claim_with("done", response);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->state, claim_state::unknown);
    EXPECT_TRUE(record->response_is_invalid);
    // The claim keeps its owner, and is deleted at its time.
    EXPECT_EQ(record->nonce, "nonce");
    EXPECT_EQ(record->time, 1);
}

std::string const content = R"("content_type":"text/plain","body_base64":"Ym9keQ==")";

// Guards against sending a recorded response again whose status no service can have sent.
TEST(claim_record, response_without_a_valid_status_is_not_given_back)
{
    // The last integer but one is 2^32 + 200.
    for (std::string const status :
         {"0", "99", "100", "101", "199", "600", "999", "-200", "4294967496", "9223372036854775807",
          "null", "\"200\"", "\"\"", "true", "200.5", "[200]"})
        expect_invalid_response(concatenate({R"("status":)", status, ",", content}));
    expect_invalid_response(content);
    for (int const status : {200, 204, 299, 302, 404, 500, 599})
    {
        auto const record = read_claim_with(
            "done", concatenate({R"("status":)", std::to_string(status), ",", content}));
        ASSERT_TRUE(record);
        EXPECT_EQ(record->state, claim_state::done);
        EXPECT_FALSE(record->response_is_invalid);
        EXPECT_EQ(record->status, status);
        EXPECT_EQ(record->body, "body");
        EXPECT_EQ(record->content_type, "text/plain");
    }
}

// Guards against sending a shortened body, or a header field that ends the head, for the service's
// response.
TEST(claim_record, response_without_a_readable_body_or_content_type_is_not_given_back)
{
    std::string const status = R"("status":200,)";
    std::string const type = R"("content_type":"text/plain")";
    for (std::string const body :
         {R"("body_base64":"Ym9keQ")", R"("body_base64":"Ym9k%Q==")", R"("body_base64":"%%%%")",
          R"("body_base64":"Ym9keQ==Ym9keQ==")", R"("body_base64":7)", R"("body_base64":null)",
          R"("body_omitted":false)", R"("body_omitted":"yes")"})
        expect_invalid_response(concatenate({status, type, ",", body}));
    expect_invalid_response(status + type);
    std::string const body = R"("body_base64":"Ym9keQ==")";
    for (std::string const value :
         {R"("a\r\nName: v")", R"("a\n")", R"("a\u0000")", R"("a\u007f")", "7"})
        expect_invalid_response(concatenate({status, R"("content_type":)", value, ",", body}));
    for (std::string const& response :
         {concatenate({type, ",", body}), R"("content_type":"text/plain; a=\"\u00e9\t\"",)" + body,
          R"("content_type":"",)" + body, type + R"(,"body_base64":"")",
          type + R"(,"body_omitted":true)"})
    {
        auto const record = read_claim_with("done", status + response);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->state, claim_state::done) << response;
        EXPECT_EQ(record->body_omitted, response.ends_with("true")) << response;
    }
}

// Guards against losing bytes of a response between recording it and giving it back.
TEST(claim_record, recorded_response_is_given_back_unchanged)
{
    claim_record written;
    written.state = claim_state::done;
    written.status = 200;
    written.content_type = "application/octet-stream";
    for (std::size_t length = 0; length < 600; length += 7)
    {
        auto const read = read_claim(write_claim(written));
        ASSERT_TRUE(read);
        EXPECT_EQ(read->state, claim_state::done) << length;
        EXPECT_TRUE(read->body == written.body) << length;
        for (int i = 0; i < 7; ++i)
            written.body.push_back(static_cast<char>(written.body.size() * 37));
    }
}

// Guards against rejecting claims that have no response yet, or none at all.
TEST(claim_record, other_states_need_no_response)
{
    for (std::string const state : {"claimed", "unknown", "not_run"})
    {
        auto const record = read_claim_with(state, "");
        ASSERT_TRUE(record) << state;
        EXPECT_FALSE(record->response_is_invalid) << state;
        EXPECT_EQ(record->state == claim_state::unknown, state == "unknown");
    }
}

} // namespace
} // namespace jasminepier::claims
