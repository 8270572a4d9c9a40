/// Runs an engine model in real time and keeps the tokens of each generation for readers.
#pragma once

#include "base/json.hpp"
#include "stand_ins/engine/engine_model.hpp"

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jasminepier::stand_ins
{

/// How long a generation without a reader is kept for a resume.
inline constexpr std::chrono::seconds detached_lifetime{30};

struct generation
{
    std::vector<std::string> tokens;
    std::int64_t output_tokens = 0;
    std::int64_t prompt_tokens = 0;
    bool finished = false;
    bool cancelled = false;
    std::string text_prefix;
    int readers = 0;
    std::chrono::steady_clock::time_point detached_at;
};

class engine_host
{
public:
    engine_host(engine_model_settings settings, std::vector<std::string> models,
                bool enforces_fencing);
    ~engine_host();
    engine_host(engine_host const&) = delete;
    engine_host& operator=(engine_host const&) = delete;

    /// Starts a generation for a prompt. `tokens=N` in the prompt sets the output length, and
    /// `unrepeatable` makes the text differ from one generation to the next.
    void start(std::string const& id, std::string const& prompt, int priority,
               std::int64_t maximum_tokens);

    /// Waits for token `index`. Nothing when the generation has ended or is unknown.
    std::optional<std::string> wait_for_token(std::string const& id, std::size_t index);

    /// Returns true when the generation produced all its tokens.
    bool finished(std::string const& id);

    bool attach(std::string const& id);
    void detach(std::string const& id);
    bool cancel(std::string const& id);
    std::int64_t prompt_tokens(std::string const& id);

    base::json_object load();
    /// Returns the HTTP status: 200, or 409 for an old fencing number when these are enforced.
    int accept_order(base::json_object const& order);
    base::json_object orders();

    void turn_cold();
    void set_leaving();
    /// Produces no token and answers nothing about generations for `time`.
    void freeze(std::chrono::milliseconds time);

private:
    void run();
    void drop_detached();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    engine_model m_model;
    std::map<std::string, std::shared_ptr<generation>> m_generations;
    std::vector<std::string> m_models;
    std::string m_instance;
    std::string m_role = "serve";
    std::vector<base::json_object> m_orders;
    std::int64_t m_fencing_number = 0;
    bool m_enforces_fencing;
    bool m_leaving = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace jasminepier::stand_ins
