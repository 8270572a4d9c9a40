/// Conversion of configuration objects between the Thrift struct and `store::object`.
#pragma once

#include "base/compression.hpp"
#include "jasminepier_types.h"
#include "store/object.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminepier::inner_protocol
{

inline configuration_object to_thrift(store::object const& source)
{
    configuration_object result;
    result.kind = source.kind;
    result.name = source.name;
    result.version = source.version;
    result.value_json = source.value;
    result.deleted = source.deleted;
    return result;
}

/// Objects that a peer sends are no larger than what the store returns.
constexpr std::size_t maximum_value_size = std::size_t{8} * 1024 * 1024;

/// Objects whose compressed value is damaged are left out.
inline std::vector<store::object> from_thrift(std::vector<configuration_object> const& sources)
{
    std::vector<store::object> result;
    result.reserve(sources.size());
    for (auto const& source : sources)
    {
        auto value = source.__isset.compressed_value
                         ? base::handle(
                               [&]() -> base::result<std::optional<std::string>>
                               {
                                   BOOST_LEAF_AUTO(text, base::decompress(source.compressed_value,
                                                                          maximum_value_size));
                                   return std::optional(std::move(text));
                               },
                               [](base::error const&) { return std::optional<std::string>(); })
                         : std::optional(source.value_json);
        if (value)
            result.push_back(
                {source.kind, source.name, source.version, std::move(*value), source.deleted});
    }
    return result;
}

} // namespace jasminepier::inner_protocol
