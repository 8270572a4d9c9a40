#include "services/entry/plain_call.hpp"

#include "base/hash.hpp"

#include <Poco/URI.h>

#include <charconv>

namespace jasminepier::entry
{
namespace
{

using base::error_kind;

constexpr base::milliseconds default_timeout{30000};
constexpr base::milliseconds longest_timeout{120000};
constexpr std::size_t longest_key = 255;
std::string const path_prefix = "/v1/services/";

base::result<base::milliseconds> parse_timeout(std::string const& text)
{
    if (text.empty())
        return default_timeout;
    std::int64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 1)
        return base::fail(error_kind::bad_request,
                          "Jasminepier-Timeout-Milliseconds must be a positive integer");
    return std::min(base::milliseconds(value), longest_timeout);
}

/// The path as a service may understand it: decoded, with repeated slashes made one. Fails on dot
/// segments, by which a path could reach a non-repeatable prefix without showing it.
base::result<std::string> comparable_path(std::string const& raw)
{
    std::string decoded;
    Poco::URI::decode(raw, decoded);
    std::string path;
    for (char c : decoded)
        if (c != '/' || path.empty() || path.back() != '/')
            path += c;
    if ((path + "/").find("/../") != std::string::npos ||
        (path + "/").find("/./") != std::string::npos)
        return base::fail(error_kind::bad_request, "dot segments are not accepted");
    return path;
}

base::result<std::string> parse_key(std::string const& key)
{
    bool const printable = std::all_of(key.begin(), key.end(), [](char c) { return c > ' '; });
    if (key.size() > longest_key || !printable)
        return base::fail(error_kind::bad_request,
                          "Idempotency-Key must have 1 to 255 printable characters");
    return key;
}

base::result<repetition> decide_repetition(configuration::service const& service,
                                           std::string const& method, std::string const& path,
                                           std::string const& key)
{
    bool const reads = method == "GET" || method == "HEAD";
    auto const& prefixes = service.non_repeatable_prefixes;
    bool const non_repeatable = std::any_of(
        prefixes.begin(), prefixes.end(), [&](auto const& each) { return path.starts_with(each); });
    if (reads)
        return non_repeatable ? repetition::unclaimed : repetition::lookup;
    if (!key.empty())
        return repetition::claimed;
    if (non_repeatable)
        return base::fail(error_kind::idempotency_key_required,
                          "calls to " + path + " need an Idempotency-Key");
    return repetition::unclaimed;
}

} // namespace

base::result<plain_call> parse_plain_call(configuration::snapshot const& snapshot,
                                          configuration::customer const& customer,
                                          http_request& request)
{
    plain_call call;
    BOOST_LEAF_AUTO(timeout, parse_timeout(request.get("Jasminepier-Timeout-Milliseconds", "")));
    call.deadline = base::steady_clock_source{}.now() + timeout;
    auto const& uri = request.getURI();
    if (!uri.starts_with(path_prefix))
        return base::fail(error_kind::bad_request, "the request target must be a plain path");
    auto const target = uri.substr(path_prefix.size());
    auto const end = target.find_first_of("/?");
    call.service = target.substr(0, end);
    auto raw = end == std::string::npos ? "/" : target.substr(end);
    if (raw.front() != '/')
        raw.insert(raw.begin(), '/');
    auto const found = snapshot.services.find(call.service);
    if (found == snapshot.services.end() ||
        found->second.type != configuration::service_type::plain)
        return base::fail(error_kind::not_found, "unknown service '" + call.service + "'");
    BOOST_LEAF_AUTO(path, comparable_path(raw.substr(0, raw.find('?'))));
    BOOST_LEAF_ASSIGN(call.key, parse_key(request.get("Idempotency-Key", "")));
    BOOST_LEAF_ASSIGN(call.repeats,
                      decide_repetition(found->second, request.getMethod(), path, call.key));
    BOOST_LEAF_AUTO(body, read_body(request));
    call.customer = customer.name;
    call.request_id = base::random_id();
    call.forwarded = {request.getMethod(), raw, {}, std::move(body)};
    call.forwarded.headers["Content-Type"] = request.getContentType();
    call.forwarded.headers["X-Customer"] = customer.name;
    return call;
}

std::string request_hash(plain_call const& call)
{
    return base::sha256_hex({call.forwarded.method, call.forwarded.path,
                             call.forwarded.headers.at("Content-Type"), call.forwarded.body});
}

} // namespace jasminepier::entry
