#include "claims/claim.hpp"

#include "base/hash.hpp"
#include "base/json.hpp"
#include "http/status.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace jasminepier::claims
{
namespace
{

constexpr std::array<std::string_view, 4> state_names{"claimed", "done", "unknown", "not_run"};

base::result<claim_state> parse_state(std::string const& name)
{
    for (std::size_t i = 0; i < state_names.size(); ++i)
        if (name == state_names[i])
            return static_cast<claim_state>(i);
    return base::fail(base::error_kind::bad_request, "unknown claim state '" + name + "'");
}

// A response body may hold arbitrary bytes, which a JSON string cannot represent.
std::string encode_base64(std::string const& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decode_base64(std::string const& text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

/// A control character in a header field could end the head of the response that is sent.
bool is_control_character(char character) noexcept
{
    // Bytes above 0x7f are allowed, and negative where `char` is signed.
    auto const byte = static_cast<unsigned char>(character);
    return (byte < ' ' && byte != '\t') || byte == '\x7f';
}

base::result<void> read_response(base::json_object const& source, claim_record& record)
{
    BOOST_LEAF_AUTO(status, base::read_integer(source, "status"));
    if (!http::is_final_status(status))
        return base::fail(base::error_kind::bad_request, "member 'status' is no final status");
    record.status = static_cast<int>(status);
    BOOST_LEAF_ASSIGN(record.content_type, base::read_string_or(source, "content_type", ""));
    if (std::any_of(record.content_type.begin(), record.content_type.end(), is_control_character))
        return base::fail(base::error_kind::bad_request,
                          "member 'content_type' has a control character");
    BOOST_LEAF_ASSIGN(record.body_omitted, base::read_bool_or(source, "body_omitted", false));
    if (record.body_omitted)
        return {};
    BOOST_LEAF_AUTO(body, base::read_string(source, "body_base64"));
    record.body = decode_base64(body);
    // The decoder stops at the first invalid character.
    if (encode_base64(record.body) != body)
        return base::fail(base::error_kind::bad_request, "member 'body_base64' is not encoded");
    return {};
}

} // namespace

base::result<claim_record> parse_claim(std::string const& text)
{
    BOOST_LEAF_AUTO(source, base::parse_json_object(text));
    claim_record record;
    BOOST_LEAF_AUTO(state, base::read_string(source, "state"));
    BOOST_LEAF_ASSIGN(record.state, parse_state(state));
    BOOST_LEAF_ASSIGN(record.nonce, base::read_string(source, "nonce"));
    BOOST_LEAF_ASSIGN(record.node, base::read_string(source, "node"));
    BOOST_LEAF_ASSIGN(record.request_hash, base::read_string(source, "request_hash"));
    BOOST_LEAF_ASSIGN(record.time, base::read_integer(source, "time"));
    if (record.state != claim_state::done)
        return record;
    bool const has_response = base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_CHECK(read_response(source, record));
            return true;
        },
        [](base::error const&) { return false; });
    if (!has_response)
    {
        record.state = claim_state::unknown;
        record.response_is_invalid = true;
    }
    return record;
}

std::string write_claim(claim_record const& record)
{
    base::json_object document = new Poco::JSON::Object;
    document->set("state", std::string(state_names[static_cast<std::size_t>(record.state)]));
    document->set("nonce", record.nonce);
    document->set("node", record.node);
    document->set("request_hash", record.request_hash);
    document->set("time", record.time);
    if (record.state != claim_state::done)
        return base::write_json(document);
    document->set("status", record.status);
    document->set("content_type", record.content_type);
    if (record.body.size() > maximum_recorded_body_bytes || record.body_omitted)
        document->set("body_omitted", true);
    else
        document->set("body_base64", encode_base64(record.body));
    return base::write_json(document);
}

std::string claim_name(std::string_view customer, std::string_view service, std::string_view key)
{
    return base::sha256_hex({customer, service, key});
}

} // namespace jasminepier::claims
