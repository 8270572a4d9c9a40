/// A fake of the platform's store in the process of a test.
#pragma once

#include "tests/support/connection_server.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace jasminepier::tests
{

enum class store_mode
{
    serving,
    /// Responds with 503.
    unavailable,
    /// Accepts requests but never responds, also not to pending watches.
    unresponsive,
    /// Executes requests and closes their connections without a response.
    dropping_responses,
};

/// Stores objects with revisions and serves lists, conditional writes and watches with a timeout.
class fake_store
{
public:
    explicit fake_store(std::uint16_t port);
    ~fake_store();

    void put(std::string const& kind, std::string const& name, std::string const& spec);
    void remove(std::string const& kind, std::string const& name);
    /// Sets a function that replaces the specs that nodes write, for example to route traffic to a
    /// node through a proxy.
    void
    set_spec_rewriter(std::function<std::string(std::string const& kind, std::string const& name,
                                                std::string const& spec)>
                          rewrite_spec);
    /// Hides all objects and changes of the kind from nodes.
    void hide_kind(std::string const& kind);
    void set_mode(store_mode mode);
    /// Discards the change history. Watches from an older revision get 410 and must list again.
    void drop_history();
    /// The latest state of an object whose writes since a copy were lost.
    struct lost_write
    {
        std::string kind;
        std::string name;
        /// Empty if the object was removed.
        std::optional<std::string> spec;
    };
    /// Takes a copy of all objects.
    void take_copy();
    /// Loses all writes since the last copy and returns them. Revisions go back to those of the
    /// copy.
    std::vector<lost_write> restore_copy();
    /// Writes again what was lost, except for objects that have been written since the restoration.
    void write_again(std::vector<lost_write> const& lost);
    /// Returns the spec of the object; empty if there is none.
    std::string find_spec(std::string const& kind, std::string const& name);
    /// Returns the status of the object as JSON; empty if none was written.
    std::string find_status(std::string const& kind, std::string const& name);
    int request_count() const noexcept { return m_request_count; }

private:
    struct stored_object
    {
        std::int64_t revision = 0;
        std::string spec;
        std::string status{};
    };
    struct object_change
    {
        std::int64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
        std::string status{};
    };

    void serve(Poco::Net::StreamSocket& socket);
    /// Returns the body of the response.
    std::string handle_request(http::request const& request, int& status);
    std::string write(std::string const& kind, std::string const& name, std::string const& spec);
    std::string list(std::string const& kind);
    std::string watch(std::string const& kind, std::int64_t after_revision,
                      std::chrono::milliseconds timeout, int& status);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, stored_object>> m_objects;
    std::vector<object_change> m_history;
    /// Oldest revision from which a watch can continue.
    std::int64_t m_history_start = 0;
    std::int64_t m_revision = 100;
    std::map<std::string, std::map<std::string, stored_object>> m_copied_objects;
    std::int64_t m_copied_revision = 0;
    /// Rises with each restoration.
    std::atomic<int> m_epoch{1};
    std::function<std::string(std::string const&, std::string const&, std::string const&)>
        m_rewrite_spec;
    std::set<std::string> m_hidden_kinds;
    std::atomic<store_mode> m_mode{store_mode::serving};
    std::atomic<int> m_request_count{0};
    bool m_shutting_down = false;
    connection_server m_server;
};

} // namespace jasminepier::tests
