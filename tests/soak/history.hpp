/// What callers, servers and the operator saw during a run of the soak.
#pragma once

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
};

enum class request_kind
{
    /// May run once.
    order,
    /// May run more than once.
    check,
    /// A stream that may run once and is moved between engines.
    plan,
    /// A stream that may be resumed.
    question,
};

constexpr bool may_repeat(request_kind kind) noexcept
{
    return kind == request_kind::check || kind == request_kind::question;
}

/// One attempt of a caller.
struct call_record
{
    std::string id;
    request_kind kind = request_kind::check;
    int node = 0;
    time_point sent;
    time_point ended;
    /// 0 when the connection ended without an answer.
    int status = 0;
    /// The answer ended as its framing says.
    bool whole = false;
    bool has_signature = false;
    std::string body;
    /// Number of the first event that is due, and of the last one of a whole stream.
    int first_event = 1;
    int last_event = 0;
    /// When the caller closed its connection before the answer.
    std::optional<time_point> left;
    /// The connection could not be established, so no node has the request.
    bool not_sent = false;
};

/// One request as a server received it.
struct arrival_record
{
    std::string server;
    std::string service;
    std::string zone;
    std::string id;
    time_point arrived;
    std::optional<time_point> ended;
    bool executed = false;
    bool succeeded = false;
    /// The copy from which the run goes on; empty for a first run.
    std::string continues_from;
    std::string customer;
    bool shows_key = false;
    milliseconds deadline{0};
};

struct server_life
{
    std::string service;
    std::string zone;
    time_point started;
    time_point cold_until;
    /// When the store acknowledged that the server is leaving or gone.
    std::optional<time_point> leaving;
    std::optional<time_point> ended;
};

struct node_stop
{
    int node = 0;
    time_point signalled;
    std::optional<time_point> exited;
    int status = 0;
};

struct configuration_change
{
    int version = 0;
    std::string order_service;
    time_point acknowledged;
};

struct evacuation
{
    std::string zone;
    time_point acknowledged;
    std::optional<time_point> withdrawn;
};

/// Names of what a fault can disturb.
inline std::string node_subject(int node)
{
    return "node-" + std::to_string(node);
}
constexpr char const* store_subject = "store";
/// The machine that plays the soak stood still.
constexpr char const* host_subject = "host";

struct history
{
    std::vector<call_record> calls;
    std::vector<arrival_record> arrivals;
    std::map<std::string, server_life> servers;
    std::vector<node_stop> stops;
    /// Starts of each node's process.
    std::map<int, std::vector<time_point>> starts;
    std::vector<configuration_change> configurations;
    std::vector<evacuation> evacuations;
    /// By subject; links to a server count for the server's id.
    std::map<std::string, std::vector<time_span>> disruptions;
    /// Nodes that ended by themselves.
    std::vector<std::string> unexpected_ends;
    /// From here on nothing is disturbed any more.
    time_point last_fault_end;

    /// True when nothing disturbed the subject in a span.
    bool calm(std::string const& subject, time_point from, time_point to) const
    {
        auto const found = disruptions.find(subject);
        if (found == disruptions.end())
            return true;
        for (auto const& span : found->second)
            if (span.from <= to && span.to >= from)
                return false;
        return true;
    }
};

} // namespace jasminepier::tests::soak
