#include "services/node/stream_origin_messages.hpp"

namespace jasminepier::node
{

void add_stream_origins(std::span<serving::stream_origin const> origins,
                        inner_protocol::node_report& message)
{
    for (auto const& origin : origins)
    {
        inner_protocol::stream_origin record;
        record.stream = static_cast<std::int64_t>(origin.stream);
        record.version = static_cast<std::int32_t>(origin.version);
        message.stream_origins.push_back(record);
        message.__isset.stream_origins = true;
    }
}

std::vector<serving::stream_origin> read_stream_origins(inner_protocol::node_report const& message)
{
    std::vector<serving::stream_origin> origins;
    origins.reserve(message.stream_origins.size());
    for (auto const& record : message.stream_origins)
        origins.push_back({static_cast<std::uint64_t>(record.stream),
                           static_cast<serving::version_hash>(record.version)});
    return origins;
}

} // namespace jasminepier::node
