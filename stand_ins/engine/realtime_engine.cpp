#include "stand_ins/engine/realtime_engine.hpp"

#include "base/hash.hpp"

#include <cstdlib>

namespace jasminepier::stand_ins
{
namespace
{

constexpr std::int64_t default_output_tokens = 24;
constexpr std::size_t prefix_characters = 64;

std::int64_t requested_output_tokens(std::string const& prompt)
{
    auto const position = prompt.find("tokens=");
    if (position == std::string::npos)
        return default_output_tokens;
    return std::max<std::int64_t>(1, std::atoll(prompt.c_str() + position + 7));
}

} // namespace

realtime_engine::realtime_engine(engine_model_settings settings, std::vector<std::string> models,
                                 bool enforces_fencing)
    : m_model(settings), m_models(std::move(models)), m_instance(base::random_id()),
      m_enforces_fencing(enforces_fencing)
{
    m_thread = std::thread([this] { run(); });
}

realtime_engine::~realtime_engine()
{
    {
        std::lock_guard lock(m_mutex);
        m_shutting_down = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void realtime_engine::start(std::string const& id, std::string const& prompt, int priority,
                            std::int64_t maximum_tokens)
{
    std::lock_guard lock(m_mutex);
    auto new_generation = std::make_shared<generation>();
    new_generation->output_tokens = std::min(requested_output_tokens(prompt), maximum_tokens);
    new_generation->prompt_tokens = static_cast<std::int64_t>(prompt.size() / 4 + 1);
    new_generation->reader_count = 1;
    if (prompt.find("unrepeatable") != std::string::npos)
        new_generation->text_prefix = id.substr(0, 6) + "-";
    engine_job job;
    job.id = id;
    job.prompt_tokens = new_generation->prompt_tokens;
    job.output_tokens = new_generation->output_tokens;
    job.priority = priority;
    job.prefix_hash = base::stable_hash(prompt.substr(0, prefix_characters));
    job.prefix_tokens = static_cast<std::int64_t>(prefix_characters / 4);
    m_generations[id] = std::move(new_generation);
    m_model.submit(std::move(job));
    m_changed.notify_all();
}

std::optional<std::string> realtime_engine::wait_for_token(std::string const& id, std::size_t index)
{
    std::unique_lock lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end())
        return std::nullopt;
    auto const awaited = found->second;
    m_changed.wait(lock,
                   [&]
                   {
                       return awaited->tokens.size() > index || awaited->finished ||
                              awaited->cancelled || m_shutting_down;
                   });
    if (awaited->tokens.size() > index)
        return awaited->tokens[index];
    return std::nullopt;
}

bool realtime_engine::is_finished(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    return found != m_generations.end() && found->second->finished && !found->second->cancelled;
}

void realtime_engine::freeze(std::chrono::milliseconds duration)
{
    std::lock_guard lock(m_mutex);
    std::this_thread::sleep_for(duration);
}

bool realtime_engine::attach(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end() || found->second->cancelled)
        return false;
    ++found->second->reader_count;
    return true;
}

void realtime_engine::detach(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end())
        return;
    --found->second->reader_count;
    found->second->detached_at = std::chrono::steady_clock::now();
}

bool realtime_engine::cancel(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end())
        return false;
    found->second->cancelled = true;
    m_model.cancel(id);
    m_changed.notify_all();
    return true;
}

std::int64_t realtime_engine::prompt_tokens(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    return found == m_generations.end() ? 0 : found->second->prompt_tokens;
}

base::json_object realtime_engine::load_report()
{
    std::lock_guard lock(m_mutex);
    base::json_object report = new Poco::JSON::Object;
    report->set("instance", m_instance);
    report->set("state", m_leaving ? "leaving" : (m_model.is_cold() ? "cold" : "warm"));
    report->set("running", m_model.running());
    report->set("waiting", m_model.waiting());
    report->set("kv_used_tokens", m_model.kv_used_tokens());
    report->set("kv_capacity_tokens", m_model.settings().kv_capacity_tokens);
    report->set("cold_capacity", m_model.settings().cold_capacity);
    report->set("max_running", m_model.settings().max_running);
    report->set("preemptions", m_model.preemptions());
    base::json_array models = new Poco::JSON::Array;
    for (auto const& name : m_models)
        models->add(name);
    report->set("models", models);
    report->set("role", m_role);
    report->set("fencing", m_enforces_fencing ? "enforced" : "ignored");
    return report;
}

int realtime_engine::apply_command(base::json_object const& command)
{
    std::lock_guard lock(m_mutex);
    auto const fencing_number = command->optValue<Poco::Int64>("fencing_number", 0);
    if (m_enforces_fencing && fencing_number < m_fencing_number)
        return 409;
    m_fencing_number = std::max<std::int64_t>(m_fencing_number, fencing_number);
    m_commands.push_back(command);
    auto const action = command->optValue<std::string>("action", "");
    auto const model = command->optValue<std::string>("model", "");
    if (action == "load_model" &&
        std::find(m_models.begin(), m_models.end(), model) == m_models.end())
        m_models.push_back(model);
    if (action == "unload_model")
        std::erase(m_models, model);
    if (action == "set_role")
        m_role = command->optValue<std::string>("role", m_role);
    return 200;
}

base::json_object realtime_engine::received_commands()
{
    std::lock_guard lock(m_mutex);
    base::json_array commands = new Poco::JSON::Array;
    for (auto const& command : m_commands)
        commands->add(command);
    base::json_object response_body = new Poco::JSON::Object;
    response_body->set("orders", commands);
    return response_body;
}

void realtime_engine::turn_cold()
{
    std::lock_guard lock(m_mutex);
    m_model.turn_cold();
}

void realtime_engine::set_leaving()
{
    std::lock_guard lock(m_mutex);
    m_leaving = true;
}

void realtime_engine::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_shutting_down)
    {
        if (m_model.is_idle())
        {
            m_changed.wait_for(lock, std::chrono::milliseconds(200));
            remove_expired_generations();
            continue;
        }
        auto const step = m_model.step();
        // An overloaded cold engine crashes, as a real one does.
        if (step.failed)
            std::_Exit(70);
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(step.milliseconds));
        lock.lock();
        for (auto const& token : step.tokens)
        {
            auto const found = m_generations.find(token.id);
            if (found == m_generations.end() || found->second->cancelled)
                continue;
            found->second->tokens.push_back(found->second->text_prefix + "w" +
                                            std::to_string(token.index) + " ");
            found->second->finished = token.finished;
        }
        m_changed.notify_all();
        remove_expired_generations();
    }
    m_changed.notify_all();
}

void realtime_engine::remove_expired_generations()
{
    auto const now = std::chrono::steady_clock::now();
    std::erase_if(m_generations,
                  [&](auto const& entry)
                  {
                      auto const& candidate = *entry.second;
                      bool const expired =
                          candidate.reader_count <= 0 &&
                          now - candidate.detached_at > unread_generation_retention;
                      if (expired)
                          m_model.cancel(entry.first);
                      return expired;
                  });
}

} // namespace jasminepier::stand_ins
