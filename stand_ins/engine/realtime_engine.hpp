/// Runs an engine model in real time and stores the tokens of each generation for its readers.
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

/// Retention of a generation without readers, during which it can be resumed.
inline constexpr std::chrono::seconds unread_generation_retention{30};

struct generation
{
    std::vector<std::string> tokens;
    std::int64_t output_tokens = 0;
    std::int64_t prompt_tokens = 0;
    bool finished = false;
    bool cancelled = false;
    std::string text_prefix;
    int reader_count = 0;
    std::chrono::steady_clock::time_point detached_at;
};

class realtime_engine
{
public:
    realtime_engine(engine_model_settings settings, std::vector<std::string> models,
                    bool enforces_fencing);
    ~realtime_engine();
    realtime_engine(realtime_engine const&) = delete;
    realtime_engine& operator=(realtime_engine const&) = delete;

    /// Starts a generation with one reader. `tokens=N` in the prompt sets the output length;
    /// `unrepeatable` makes the text differ between generations of the same prompt.
    void start(std::string const& id, std::string const& prompt, int priority,
               std::int64_t maximum_tokens);

    /// Waits for token `index`. Returns nothing if the generation ends before it or is unknown.
    std::optional<std::string> wait_for_token(std::string const& id, std::size_t index);

    /// Returns true if the generation has produced all its tokens and was not cancelled.
    bool is_finished(std::string const& id);

    /// Adds a reader. Returns false if the generation is unknown or cancelled.
    bool attach(std::string const& id);
    /// Removes a reader; the last one starts the retention period.
    void detach(std::string const& id);
    /// Cancels a generation for all its readers. Returns false if it is unknown.
    bool cancel(std::string const& id);
    std::int64_t prompt_tokens(std::string const& id);

    base::json_object load_report();
    /// Applies a placement command. Returns the HTTP status: 200, or 409 if fencing is enforced and
    /// the command's fencing number is lower than an earlier one.
    int apply_command(base::json_object const& command);
    base::json_object received_commands();

    void turn_cold();
    void set_leaving();
    /// Stalls the engine for `duration`: it produces no tokens and responds to no request, not even
    /// to queries of its load.
    void freeze(std::chrono::milliseconds duration);

private:
    void run();
    void remove_expired_generations();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    engine_model m_model;
    std::map<std::string, std::shared_ptr<generation>> m_generations;
    std::vector<std::string> m_models;
    std::string m_instance;
    std::string m_role = "serve";
    std::vector<base::json_object> m_commands;
    std::int64_t m_fencing_number = 0;
    bool m_enforces_fencing;
    bool m_leaving = false;
    bool m_shutting_down = false;
    std::thread m_thread;
};

} // namespace jasminepier::stand_ins
