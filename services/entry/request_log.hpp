/// The newest requests of this entry process and how they were decided, for `GET
/// /v1/requests/{id}`.
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

/// One choice of a server.
struct route_choice
{
    std::string service;
    std::string server;
    std::string zone;
    std::string reason;
    int candidates = 0;
    /// Needed where the choice is made on another thread than the caller's.
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
    /// In the order of the attempts; only the newest `maximum_attempts` are kept.
    std::vector<route_choice> attempts;
    /// running, served, refused, failed or disconnected.
    std::string result = "running";
    /// Error code; empty unless refused or failed.
    std::string code;
    std::int64_t tokens = 0;
    std::int64_t first_token_milliseconds = -1;
    std::int64_t stalled_milliseconds = 0;
    std::int64_t total_milliseconds = -1;
};

base::json_object to_json(request_record const& record);

/// Keeps the newest records in memory, all customers together. Synchronized; takes its lock a few
/// times per request and never per token.
class request_log
{
public:
    static constexpr std::size_t default_capacity = 4096;
    static constexpr std::size_t maximum_attempts = 8;

    explicit request_log(std::size_t capacity = default_capacity) : m_capacity(capacity) {}

    /// Adds a record; the oldest one is dropped when the log is full.
    void begin(request_record record);
    /// Changes to records that were dropped meanwhile are ignored.
    void add_attempt(std::string const& id, route_choice choice);
    void finish(request_record const& ended);
    /// Returns the zone of the latest attempt; empty when there is none.
    std::string latest_zone(std::string const& id) const;

    /// Returns the record only to the customer that sent the request; a record of another customer
    /// cannot be told from an absent one.
    std::optional<request_record> find(std::string const& id, std::string const& customer) const;
    std::size_t size() const;

private:
    std::size_t const m_capacity;
    mutable base::ordered_mutex<base::lock_level::request_log> m_mutex;
    std::unordered_map<std::string, request_record> m_records;
    std::deque<std::string> m_insertion_order;
};

} // namespace jasminepier::entry
