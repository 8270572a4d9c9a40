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
constexpr base::milliseconds maximum_timeout{120000};
constexpr std::size_t maximum_key_length = 255;
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
    return std::min(base::milliseconds(value), maximum_timeout);
}

/// Returns the path as a service may interpret it: percent-decoded and with repeated slashes
/// merged. Fails with bad_request on dot segments, which could hide a non-idempotent path prefix.
base::result<std::string> normalize_path(std::string const& raw)
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
    if (key.size() > maximum_key_length || !printable)
        return base::fail(error_kind::bad_request,
                          "Idempotency-Key must have 1 to 255 printable characters");
    return key;
}

base::result<call_semantics> classify_call(configuration::service const& service,
                                           std::string const& method, std::string const& path,
                                           std::string const& key)
{
    bool const is_read = method == "GET" || method == "HEAD";
    auto const& prefixes = service.non_repeatable_prefixes;
    bool const is_non_idempotent = std::any_of(
        prefixes.begin(), prefixes.end(), [&](auto const& each) { return path.starts_with(each); });
    if (is_read)
        return is_non_idempotent ? call_semantics::unkeyed : call_semantics::idempotent;
    if (!key.empty())
        return call_semantics::keyed;
    if (is_non_idempotent)
        return base::fail(error_kind::idempotency_key_required,
                          "calls to " + path + " need an Idempotency-Key");
    return call_semantics::unkeyed;
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
        return base::fail(error_kind::bad_request, "the request target must be in origin form");
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
    BOOST_LEAF_AUTO(path, normalize_path(raw.substr(0, raw.find('?'))));
    BOOST_LEAF_ASSIGN(call.idempotency_key, parse_key(request.get("Idempotency-Key", "")));
    BOOST_LEAF_ASSIGN(call.semantics, classify_call(found->second, request.getMethod(), path,
                                                    call.idempotency_key));
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
