/// The kinds of configuration objects, as aggregates filled by parse functions.
#pragma once

#include "base/error.hpp"
#include "base/json.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminepier::configuration
{

/// What a request is for; it decides limits, order, retries and delivery.
enum class work_kind
{
    /// A long answer that people wait for; season plans are proposals too.
    proposal,
    /// A short question that must come back quickly.
    question,
    /// Everything that can wait.
    bulk,
    /// A plain call that may not be repeated.
    action,
    /// An idempotent plain call.
    lookup,
};

inline constexpr std::size_t work_kind_count = 5;

std::string_view to_string(work_kind kind) noexcept;
/// Fails with bad_request on any other name.
base::result<work_kind> parse_work_kind(std::string_view name);

/// How the tokens of a streamed proposal are delivered.
enum class proposal_delivery
{
    /// Tokens are kept until the generation has finished, so that a lost engine costs nothing.
    held,
    /// Tokens are forwarded as they come.
    streamed,
};

/// The limits of one work kind within a preset.
struct kind_limits
{
    /// Position in the queue; lower values are served first.
    int rank = 0;
    /// Longest wait in the queue, milliseconds.
    int maximum_wait_milliseconds = 0;
    /// Most requests of this kind that wait in one entry process.
    int maximum_queued = 0;
    /// Part of a server's memory that only this kind may use, 0 to 1.
    double reserved_share = 0;
};

/// All limits that an operator changes together. Exactly one preset is in force.
struct preset
{
    std::string name = "built-in";
    /// Part of a server's KV cache that predicted occupancy may reach, 0 to 1.
    double fill_limit = 0.90;
    /// Standard deviations added to predicted occupancy.
    double margin_deviations = 1.0;
    /// Servers compared for each routing decision.
    int candidates = 3;
    /// Most tokens of one answer.
    int maximum_output_tokens = 65536;
    /// Retries allowed for each request sent, 0 to 1.
    double retry_budget = 0.10;
    /// Hedged lookups allowed for each lookup sent, 0 to 1.
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

/// Fails with bad_request and names the first member that is missing, unknown or out of range; the
/// preset is checked as a whole.
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
    /// Calls whose path starts with one of these need an Idempotency-Key and run at most once.
    std::vector<std::string> non_repeatable_prefixes;
};
base::result<service> parse_service(std::string name, base::json_object const& source);

struct customer
{
    std::string name;
    std::string api_key_sha256;
    /// Share of a crowded queue relative to other customers.
    double weight = 1;
    work_kind default_work_kind = work_kind::question;
};
base::result<customer> parse_customer(std::string name, base::json_object const& source);

/// An entry VM as the platform lists it; the list lags.
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

/// A backend server as the platform lists it; the list lags.
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

/// Returns the SHA-256 under which a customer's API key is stored.
std::string api_key_digest(std::string_view api_key);

} // namespace jasminepier::configuration
