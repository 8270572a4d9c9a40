/// Structs for the configuration objects, with functions that parse them from JSON.
#pragma once

#include "base/error.hpp"
#include "base/json.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminepier::configuration
{

/// Traffic class of a request. It determines limits, queue order, retries and delivery.
enum class work_kind
{
    /// A long completion that a person waits for; season plans are proposals too.
    proposal,
    /// A short completion with low latency.
    question,
    /// Work without a latency target.
    bulk,
    /// A non-idempotent call to a plain service.
    action,
    /// An idempotent call to a plain service.
    lookup,
};

inline constexpr std::size_t work_kind_count = 5;

std::string_view to_string(work_kind kind) noexcept;
/// Fails with bad_request if `name` is not a work kind.
base::result<work_kind> parse_work_kind(std::string_view name);

/// How the tokens of a streamed proposal are delivered to the caller.
enum class proposal_delivery
{
    /// Tokens are buffered until the generation has finished, so that it can be repeated on another
    /// engine if its engine is lost.
    held,
    /// Tokens are forwarded as they arrive.
    streamed,
};

/// The limits of one work kind within a preset.
struct kind_limits
{
    /// Queue priority; lower values are served first.
    int rank = 0;
    /// Maximum time in the queue.
    int maximum_wait_milliseconds = 0;
    /// Maximum number of queued requests of this kind per entry process.
    int maximum_queued = 0;
    /// Fraction of a server's KV cache that only this kind may use, 0 to 1.
    double reserved_share = 0;
};

/// A set of limits that an operator activates together. Exactly one preset is active.
struct preset
{
    std::string name = "built-in";
    /// Maximum predicted occupancy of a server's KV cache, as a fraction, 0 to 1.
    double fill_limit = 0.90;
    /// Safety margin added to the predicted occupancy, in standard deviations.
    double margin_deviations = 1.0;
    /// Servers sampled and compared for each routing decision.
    int candidates = 3;
    /// Maximum number of tokens in one completion.
    int maximum_output_tokens = 65536;
    /// Retries allowed per request, 0 to 1.
    double retry_budget = 0.10;
    /// Hedged attempts allowed per lookup, 0 to 1.
    double hedge_budget = 0.02;
    proposal_delivery delivery = proposal_delivery::held;
    /// Indexed by work_kind.
    std::array<kind_limits, work_kind_count> kinds{{{1, 120000, 512, 0.15},
                                                    {0, 5000, 512, 0.10},
                                                    {2, 30000, 1024, 0.0},
                                                    {0, 10000, 512, 0.0},
                                                    {0, 3000, 512, 0.0}}};

    kind_limits const& limits(work_kind kind) const noexcept
    {
        return kinds[static_cast<std::size_t>(kind)];
    }
};

/// Missing members get their defaults. Fails with bad_request and names the first member that is
/// unknown, of another type or out of range, and if the reserved shares exceed fill_limit.
base::result<preset> parse_preset(std::string name, base::json_object const& source);
base::json_object to_json(preset const& value);

enum class zone_state
{
    in_service,
    out_of_service,
};

struct zone
{
    std::string name;
    std::string region;
    zone_state state = zone_state::in_service;
};
base::result<zone> parse_zone(std::string name, base::json_object const& source);
base::json_object to_json(zone const& value);

enum class service_type
{
    model,
    plain,
};

struct service
{
    std::string name;
    service_type type = service_type::model;
    std::vector<std::string> models;
    /// Requests whose path starts with one of these prefixes are not idempotent: they need an
    /// Idempotency-Key and are executed at most once.
    std::vector<std::string> non_repeatable_prefixes;
};
base::result<service> parse_service(std::string name, base::json_object const& source);

struct customer
{
    std::string name;
    std::string api_key_sha256;
    /// Fair-queueing weight relative to other customers.
    double weight = 1;
    work_kind default_work_kind = work_kind::question;
};
base::result<customer> parse_customer(std::string name, base::json_object const& source);

/// An entry VM, as the platform lists it. The list may be stale.
struct node
{
    std::string name;
    std::string zone;
    std::string host;
    std::uint16_t gossip_port = 0;
    std::uint16_t control_port = 0;
    std::uint16_t entry_port = 0;
    std::uint16_t entry_peer_port = 0;
    bool leaving = false;
};
base::result<node> parse_node(std::string name, base::json_object const& source);

/// A backend server, as the platform lists it. The list may be stale.
struct server
{
    std::string name;
    std::string service;
    std::string zone;
    std::string host;
    std::uint16_t port = 0;
    bool leaving = false;
};
base::result<server> parse_server(std::string name, base::json_object const& source);

/// Returns the SHA-256 of a customer's API key, in the form in which it is stored.
std::string api_key_digest(std::string_view api_key);

} // namespace jasminepier::configuration
