/// Which version of a service began a stream, and which servers may therefore continue it.
#include "base/log.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/request_context.hpp"

namespace jasminepier::node
{

using base::error_kind;

base::result<void> request_context::find_stream_version()
{
    auto const now = base::steady_clock_source{}.now();
    bool is_recorded = false;
    std::string service_name;
    state.with(
        [&](node_state::tables& tables)
        {
            auto& dispatcher = tables.dispatcher;
            dispatcher.observe_versions(now);
            stream_version = tables.stream_origins.find(metadata.resumed_request_id);
            is_recorded = stream_version.has_value();
            // A node that is cut off may not have heard of another version.
            bool const knows_versions =
                tables.nodes.hears_majority(now) ||
                (!tables.store_call_failed && !dispatcher.directory().store_lost());
            // Without a record, another service of the route may have begun the stream.
            if (!is_recorded && knows_versions && route->services.size() == 1)
                stream_version = dispatcher.find_only_version(service->name, now);
            if (!stream_version)
                return;
            if (auto const* const found =
                    dispatcher.find_service_of_version(*route, *stream_version))
                service_name = found->name;
        });
    auto const result = !stream_version        ? "unknown_version"
                        : service_name.empty() ? "version_gone"
                        : is_recorded          ? "recorded"
                                               : "only_version";
    observe_event("resumed_stream", result);
    base::log_line(base::log_level::info, "stream_resumed")
        .field("request_id", metadata.request_id)
        .field("resumes", metadata.resumed_request_id)
        .field("last_event", metadata.last_event_id)
        .field("result", result);
    if (!stream_version)
        return base::fail(error_kind::stream_not_resumable,
                          "it is not known which version began the stream");
    auto const* const begun_by =
        service_name.empty() ? nullptr : configuration->find_service(service_name);
    if (begun_by == nullptr)
        return base::fail(error_kind::stream_not_resumable,
                          "no server of the version that began the stream is listed");
    service = begun_by;
    return {};
}

void request_context::record_stream_begin(serving::selected_server const& server)
{
    auto const version = serving::hash_version(service->name, server.version);
    stream_version = version;
    if (route->idempotency != serving::request_idempotency::resumable)
        return;
    auto const& id =
        metadata.resumed_request_id.empty() ? metadata.request_id : metadata.resumed_request_id;
    auto const now = base::steady_clock_source{}.now();
    bool const is_shared = state.with(
        [&](node_state::tables& tables)
        {
            tables.stream_origins.record(id, service->name, version, now);
            return !tables.dispatcher.find_only_version(service->name, now);
        });
    // Peers must know before this node can fail.
    if (is_shared)
        state.report_due().signal();
}

} // namespace jasminepier::node
