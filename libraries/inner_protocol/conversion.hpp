/// Conversion between Thrift structs and the types of the libraries.
#pragma once

#include "jasminepier_types.h"
#include "store/object.hpp"

#include <vector>

namespace jasminepier::inner_protocol
{

inline configuration_object to_thrift(store::object const& source)
{
    configuration_object converted;
    converted.kind = source.kind;
    converted.name = source.name;
    converted.version = source.version;
    converted.value_json = source.value;
    converted.deleted = source.deleted;
    return converted;
}

inline std::vector<store::object> from_thrift(std::vector<configuration_object> const& sources)
{
    std::vector<store::object> converted;
    converted.reserve(sources.size());
    for (auto const& source : sources)
        converted.push_back(
            {source.kind, source.name, source.version, source.value_json, source.deleted});
    return converted;
}

} // namespace jasminepier::inner_protocol
