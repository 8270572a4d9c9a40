#include "services/entry/event_id.hpp"

#include "base/hash.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <vector>

namespace jasminepier::entry
{
namespace
{

/// Fields of an id: server, generation, expiry, digest, completeness, signature.
constexpr std::size_t field_count = 6;
constexpr std::size_t signature_characters = 32;
constexpr std::size_t maximum_id_characters = 400;

std::string to_hex(std::uint64_t value)
{
    std::array<char, 16> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    return {text.data(), end};
}

template <class T>
std::optional<T> parse_number(std::string_view text, int base)
{
    T value{};
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string unsigned_text(stream_position const& position)
{
    return to_hex(position.server_hash) + "-" + position.generation_id + "-" +
           to_hex(static_cast<std::uint64_t>(position.expiry_seconds)) + "-" +
           to_hex(position.digest) + (position.complete ? "-c" : "-p");
}

std::string signature(std::string_view key, event_id_scope const& scope, std::string_view text,
                      std::int64_t delivered)
{
    auto const scope_digest = base::sha256_hex({scope.customer, scope.model, scope.request_hash});
    return base::hmac_sha256_hex(key, "event-id " + scope_digest + " " + std::string(text) + "." +
                                          std::to_string(delivered))
        .substr(0, signature_characters);
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (std::size_t at = 0; parts.size() <= field_count;)
    {
        auto const end = text.find('-', at);
        parts.push_back(text.substr(at, end - at));
        if (end == std::string_view::npos)
            break;
        at = end + 1;
    }
    return parts;
}

std::optional<stream_position> parse(std::vector<std::string_view> const& parts,
                                     std::string_view index)
{
    auto const server = parse_number<std::uint64_t>(parts[0], 16);
    auto const expiry = parse_number<std::int64_t>(parts[2], 16);
    auto const digest = parse_number<std::uint64_t>(parts[3], 16);
    auto const last = parse_number<std::int64_t>(index, 10);
    if (!server || !expiry || !digest || !last || *last < -1)
        return std::nullopt;
    return stream_position{*server, std::string(parts[1]), *expiry, *last + 1,
                           *digest, parts[4] == "c"};
}

} // namespace

std::string sign_event_id(std::string_view key, event_id_scope const& scope,
                          stream_position const& position)
{
    auto const text = unsigned_text(position);
    return text + "-" + signature(key, scope, text, position.delivered) + "." +
           std::to_string(position.delivered - 1);
}

base::result<stream_position> verify_event_id(std::string_view key, event_id_scope const& scope,
                                              std::string_view id, std::int64_t now_seconds)
{
    auto const invalid = [](char const* reason)
    { return base::fail(base::error_kind::bad_request, reason); };
    auto const dot = id.rfind('.');
    if (key.empty() || id.size() > maximum_id_characters || dot == std::string_view::npos)
        return invalid("Last-Event-ID is not valid");
    auto const parts = split(id.substr(0, dot));
    if (parts.size() != field_count)
        return invalid("Last-Event-ID is not valid");
    auto const position = parse(parts, id.substr(dot + 1));
    if (!position)
        return invalid("Last-Event-ID is not valid");
    auto const expected = signature(key, scope, unsigned_text(*position), position->delivered);
    if (!base::constant_time_equal(expected, parts.back()))
        return invalid("Last-Event-ID is not valid for this request");
    if (position->expiry_seconds < now_seconds)
        return invalid("Last-Event-ID has expired");
    return *position;
}

} // namespace jasminepier::entry
