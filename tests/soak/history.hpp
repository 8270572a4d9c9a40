/// Events of a soak run as observed by the callers, the servers and the operator.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::tests::soak
{

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

struct time_span
{
    time_point from;
    time_point to;
    /// Part of planned work, such as the stop of a node.
    bool is_planned = false;
};

/// A thread that is this late shows that the host is overloaded.
constexpr milliseconds stall_threshold{100};

enum class request_kind
{
    /// Must not be executed more than once.
    non_idempotent,
    /// May be executed more than once.
    idempotent,
    /// A streamed generation that is executed once and can be handed over between engines.
    stream,
    /// A streamed generation that a node or the caller may resume after its last event.
    resumable_stream,
};

constexpr bool may_retry(request_kind kind) noexcept
{
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

/// One request as its caller sent it. Retries of the caller are records of their own.
struct request_record
{
    std::string id;
    request_kind kind = request_kind::idempotent;
    int node = 0;
    time_point sent_at;
    time_point ended_at;
    /// 0 if the connection ended without a response.
    int status = 0;
    /// The response ended as its framing requires.
    bool is_complete = false;
    bool has_signature = false;
    std::string body;
    /// Id of the first event that the request asks for (above 1 if it resumes a stream), and of the
    /// last event of the stream, which is 0 for requests that are not streamed.
    int first_event_number = 1;
    int last_event_number = 0;
    /// Prompt part that crashes the engine which begins to answer; empty for sound requests.
    std::string deadly_part;
    /// Set if the caller waits for another time than `test_settings::request_deadline`.
    std::optional<milliseconds> deadline;
    /// Set if the caller closed the connection before the end of the response.
    std::optional<time_point> disconnected_at;
    /// The connection could not be established, so no node received the request.
    bool connect_failed = false;
};

/// One request as a server received it.
struct arrival_record
{
    std::string server;
    std::string service;
    std::string zone;
    std::string id;
    time_point arrived_at;
    std::optional<time_point> ended_at;
    bool executed = false;
    bool succeeded = false;
    /// KV cache copy from which the generation continues; empty for a new generation.
    std::string copy_source;
    std::string customer;
    /// The request contains the caller's API key.
    bool has_api_key = false;
    milliseconds deadline{0};
};

struct server_record
{
    std::string service;
    std::string zone;
    time_point started_at;
    time_point cold_until;
    /// When the store acknowledged that the server is draining or removed.
    std::optional<time_point> leaving_at;
    std::optional<time_point> ended_at;
};

struct node_shutdown
{
    int node = 0;
    time_point signalled_at;
    std::optional<time_point> exited_at;
    int exit_status = 0;
    /// The signal came before the program could handle it, so it ended the process.
    bool was_starting = false;
};

struct configuration_change
{
    int version = 0;
    std::string non_idempotent_service;
    time_point acknowledged_at;
};

struct evacuation
{
    std::string zone;
    time_point acknowledged_at;
    std::optional<time_point> withdrawn_at;
};

/// Subjects of disruptions: nodes, servers (by id), the store and the host.
inline std::string node_subject(int node)
{
    return "node-" + std::to_string(node);
}
constexpr char const* store_subject = "store";
/// The machine that runs the soak; it is disturbed while it is overloaded.
constexpr char const* host_subject = "host";

struct history
{
    std::vector<request_record> requests;
    std::vector<arrival_record> arrivals;
    std::map<std::string, server_record> servers;
    std::vector<node_shutdown> shutdowns;
    /// By node, the times at which its process was started.
    std::map<int, std::vector<time_point>> process_starts;
    std::vector<configuration_change> configurations;
    std::vector<evacuation> evacuations;
    /// By subject. A fault of the link to a server disturbs that server.
    std::map<std::string, std::vector<time_span>> disruptions;
    /// One line for each node process that exited without a fault that ends it.
    std::vector<std::string> unexpected_exits;
    /// Nothing is disturbed after this time.
    time_point last_fault_end;

    /// Returns true if nothing disturbed the subject between `from` and `to`.
    bool is_undisturbed(std::string const& subject, time_point from, time_point to) const
    {
        return !is_disturbed_by(subject, from, to, [](time_span const&) { return true; });
    }

    /// Like `is_undisturbed`, but ignores planned work.
    bool is_undisturbed_but_for_planned_work(std::string const& subject, time_point from,
                                             time_point to) const
    {
        return !is_disturbed_by(subject, from, to,
                                [](time_span const& span) { return !span.is_planned; });
    }

private:
    template <class Predicate>
    bool is_disturbed_by(std::string const& subject, time_point from, time_point to,
                         Predicate&& counts) const
    {
        auto const found = disruptions.find(subject);
        if (found == disruptions.end())
            return false;
        return std::any_of(found->second.begin(), found->second.end(),
                           [&](time_span const& span)
                           { return counts(span) && span.from <= to && span.to >= from; });
    }
};

} // namespace jasminepier::tests::soak
