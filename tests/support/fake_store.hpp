/// Stand-in for the platform's store, in the process of a test.
#pragma once

#include "tests/support/connection_server.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <vector>

namespace jasminepier::tests
{

enum class store_mode
{
    serving,
    /// Answers 503.
    refusing,
    /// Accepts calls and never answers them, nor those that wait already.
    silent,
    /// Executes calls and closes their connections without an answer.
    losing_answers,
};

/// Objects with revisions and waiting watches, as the platform's store has them.
class fake_store
{
public:
    explicit fake_store(std::uint16_t port);
    ~fake_store();

    void put(std::string const& kind, std::string const& name, std::string const& spec);
    void remove(std::string const& kind, std::string const& name);
    /// Changes the values that nodes write, for nodes that are to be reached through proxies.
    void set_rewriting(std::function<std::string(std::string const& kind, std::string const& name,
                                                 std::string const& spec)>
                           rewrite);
    /// Nodes see no objects of that kind, as if they did not follow it.
    void hide(std::string const& kind);
    void set_mode(store_mode mode);
    /// Drops the history, so that watches have to list again.
    void forget_history();
    int calls() const noexcept { return m_calls; }

private:
    struct stored
    {
        std::int64_t revision = 0;
        std::string spec;
    };
    struct change
    {
        std::int64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
    };

    void serve(Poco::Net::StreamSocket& socket);
    std::string answer(http::request const& request, int& status);
    std::string write(std::string const& kind, std::string const& name, std::string const& spec);
    std::string list(std::string const& kind);
    std::string watch(std::string const& kind, std::int64_t since, std::chrono::milliseconds wait,
                      int& status);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, stored>> m_objects;
    std::vector<change> m_history;
    std::int64_t m_oldest = 0;
    std::int64_t m_revision = 100;
    std::function<std::string(std::string const&, std::string const&, std::string const&)>
        m_rewrite;
    std::set<std::string> m_hidden;
    std::atomic<store_mode> m_mode{store_mode::serving};
    std::atomic<int> m_calls{0};
    bool m_stopping = false;
    connection_server m_server;
};

} // namespace jasminepier::tests
