/// The latest requests of this entry process and their routing, for `GET /v1/requests/{id}`.
#pragma once

#include "base/json.hpp"
#include "base/ordered_mutex.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminepier::entry
{

/// The selection of a server for one attempt.
struct route_choice
{
    std::string service;
    std::string server;
    std::string zone;
    std::string reason;
    int candidates = 0;
    /// Required if the server is selected on another thread than the caller's worker.
    std::string request_id{};
};

struct request_record
{
    std::string id;
    std::string customer;
    std::string kind;
    /// Empty for calls to plain services.
    std::string model;
    std::int64_t started_unix_seconds = 0;
    /// The latest `maximum_attempts` attempts, oldest first.
    std::vector<route_choice> attempts;
    /// running, served, refused, failed or disconnected.
    std::string result = "running";
    /// Error code; empty unless the request was refused or failed.
    std::string code;
    std::int64_t tokens = 0;
    std::int64_t first_token_milliseconds = -1;
    std::int64_t stalled_milliseconds = 0;
    std::int64_t total_milliseconds = -1;
};

base::json_object to_json(request_record const& record);

/// Keeps the latest records of all customers in memory. Thread-safe; its lock is taken a few times
/// per request, not per token.
class request_log
{
public:
    static constexpr std::size_t default_capacity = 4096;
    static constexpr std::size_t maximum_attempts = 8;

    explicit request_log(std::size_t capacity = default_capacity) : m_capacity(capacity) {}

    /// Adds a record. Drops the oldest record if the log is full.
    void begin(request_record record);
    /// `add_attempt` and `finish` ignore requests whose records were dropped.
    void add_attempt(std::string const& id, route_choice choice);
    void finish(request_record const& ended);
    /// Returns the zone of the latest attempt, or an empty string if there is none.
    std::string latest_zone(std::string const& id) const;

    /// Returns the record if `customer` sent the request. A record of another customer appears
    /// absent.
    std::optional<request_record> find(std::string const& id, std::string const& customer) const;
    std::size_t size() const;

private:
    std::size_t const m_capacity;
    mutable base::ordered_mutex<base::lock_level::request_log> m_mutex;
    std::unordered_map<std::string, request_record> m_records;
    std::deque<std::string> m_insertion_order;
};

} // namespace jasminepier::entry
