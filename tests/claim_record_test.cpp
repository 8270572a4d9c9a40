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
