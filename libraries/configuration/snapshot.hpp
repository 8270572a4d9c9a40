/// An immutable, parsed view of the configuration for the request path.
#pragma once

#include "configuration/types.hpp"
#include "configuration/versioned_store.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace jasminepier::configuration
{

/// The kinds of objects that are replicated to every node. Claims and leases are not.
std::vector<std::string> const& replicated_kinds();

struct snapshot
{
    std::int64_t revision = 0;
    preset active_preset;
    std::map<std::string, zone> zones;
    std::map<std::string, service> services;
    std::map<std::string, customer> customers;
    std::map<std::string, node> nodes;
    std::map<std::string, server> servers;
    /// Customer names by the SHA-256 of their API key, see api_key_digest.
    std::unordered_map<std::string, std::string> customers_by_key;
    /// Key for signing event ids; empty if the platform stores none.
    std::string event_id_key;

    /// Returns null if no service offers `model`.
    service const* find_service_for_model(std::string const& model) const;
    /// Returns false for a zone that an operator has taken out of service. Unlisted zones are in
    /// service.
    bool zone_in_service(std::string const& zone_name) const;
};

using snapshot_ptr = std::shared_ptr<snapshot const>;

/// Logs and skips objects that can't be parsed. Keeps the active preset of `previous` if the stored
/// one can't be parsed or is missing; `previous` may be null.
snapshot_ptr build_snapshot(versioned_store const& store, snapshot const* previous);

} // namespace jasminepier::configuration
