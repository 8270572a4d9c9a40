/// Which version of a service began a stream, and which servers may therefore continue it.
#include "services/node/request_context.hpp"

namespace jasminepier::node
{

void request_context::record_stream_begin(serving::selected_server const& server)
{
    stream_version = serving::hash_version(service->name, server.version);
}

} // namespace jasminepier::node
