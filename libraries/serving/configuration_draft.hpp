/// A configuration as its author wrote it, before duplicates replace each other.
#pragma once

#include "serving/fleet_configuration.hpp"

#include <string>
#include <vector>

namespace jasminepier::serving
{

struct customer_entry
{
    customer settings;
    std::vector<std::string> api_keys;
};

/// The entries in the order of the document.
struct configuration_draft
{
    std::int64_t version = 0;
    caller_limits limits;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<customer_entry> customers;
    /// If false, callers need no API key.
    bool has_customers = false;
};

} // namespace jasminepier::serving
