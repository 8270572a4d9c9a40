/// One immutable view of the configuration, as the request path reads it.
#pragma once

#include "configuration/types.hpp"
#include "configuration/versioned_store.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace jasminepier::configuration
{

/// The kinds of objects that every node holds; claims and leases are not among them.
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
    /// Customer names by the digest of their API key.
    std::unordered_map<std::string, std::string> customers_by_key;
    /// Key for signing event ids; empty when the platform holds none.
    std::string event_id_key;

    /// Returns null when no service offers `model`.
    service const* find_service_for_model(std::string const& model) const;
    /// Returns false for a zone that operators have taken out; unlisted zones are in service.
    bool zone_in_service(std::string const& zone_name) const;
};

using snapshot_ptr = std::shared_ptr<snapshot const>;

/// Builds a snapshot. Objects that cannot be parsed are logged and left out; an active preset that
/// cannot be parsed keeps the one of `previous`.
snapshot_ptr build_snapshot(versioned_store const& store, snapshot const* previous);

} // namespace jasminepier::configuration
