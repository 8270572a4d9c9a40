/// Conversion of configuration objects between the Thrift struct and `store::object`.
#pragma once

#include "jasminepier_types.h"
#include "store/object.hpp"

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

inline std::vector<store::object> from_thrift(std::vector<configuration_object> const& sources)
{
    std::vector<store::object> result;
    result.reserve(sources.size());
    for (auto const& source : sources)
        result.push_back(
            {source.kind, source.name, source.version, source.value_json, source.deleted});
    return result;
}

} // namespace jasminepier::inner_protocol
