/// Conversion of objects for peers that accept compressed values.
#pragma once

#include "base/compression.hpp"
#include "base/ordered_mutex.hpp"
#include "inner_protocol/conversion.hpp"

#include <mutex>
#include <string>

namespace jasminepier::inner_protocol
{

/// Compresses large values. Keeps the latest one, since several peers pull a new configuration at
/// once. Thread-safe.
class compressed_value_cache
{
public:
    /// Shorter values are sent as they are.
    static constexpr std::size_t minimum_size = 4096;

    configuration_object convert(store::object const& source)
    {
        if (source.value.size() < minimum_size)
            return to_thrift(source);
        configuration_object result;
        result.kind = source.kind;
        result.name = source.name;
        result.version = source.version;
        result.deleted = source.deleted;
        result.__set_compressed_value(find_compressed(source));
        return result;
    }

private:
    std::string find_compressed(store::object const& source)
    {
        std::lock_guard const lock(m_mutex);
        if (m_kind != source.kind || m_name != source.name || m_version != source.version)
        {
            m_compressed = base::compress(source.value);
            m_kind = source.kind;
            m_name = source.name;
            m_version = source.version;
        }
        return m_compressed;
    }

    base::ordered_mutex<base::lock_level::compressed_values> m_mutex;
    std::string m_kind;
    std::string m_name;
    std::int64_t m_version = 0;
    std::string m_compressed;
};

} // namespace jasminepier::inner_protocol
