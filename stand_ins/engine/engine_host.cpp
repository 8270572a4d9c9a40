#include "stand_ins/engine/engine_host.hpp"

#include "base/hash.hpp"

#include <cstdlib>

namespace jasminepier::stand_ins
{
namespace
{

constexpr std::int64_t default_output_tokens = 24;
constexpr std::size_t prefix_characters = 64;

std::int64_t requested_tokens(std::string const& prompt)
{
    auto const position = prompt.find("tokens=");
    if (position == std::string::npos)
        return default_output_tokens;
    return std::max<std::int64_t>(1, std::atoll(prompt.c_str() + position + 7));
}

} // namespace

engine_host::engine_host(engine_model_settings settings, std::vector<std::string> models,
                         bool enforces_fencing)
    : m_model(settings), m_models(std::move(models)), m_instance(base::random_id()),
      m_enforces_fencing(enforces_fencing)
{
    m_thread = std::thread([this] { run(); });
}

engine_host::~engine_host()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void engine_host::start(std::string const& id, std::string const& prompt, int priority,
                        std::int64_t maximum_tokens)
{
    std::lock_guard lock(m_mutex);
    auto created = std::make_shared<generation>();
    created->output_tokens = std::min(requested_tokens(prompt), maximum_tokens);
    created->prompt_tokens = static_cast<std::int64_t>(prompt.size() / 4 + 1);
    created->readers = 1;
    if (prompt.find("unrepeatable") != std::string::npos)
        created->text_prefix = id.substr(0, 6) + "-";
    engine_job job;
    job.id = id;
    job.prompt_tokens = created->prompt_tokens;
    job.output_tokens = created->output_tokens;
    job.priority = priority;
    job.prefix_hash = base::stable_hash(prompt.substr(0, prefix_characters));
    job.prefix_tokens = static_cast<std::int64_t>(prefix_characters / 4);
    m_generations[id] = std::move(created);
    m_model.submit(std::move(job));
    m_changed.notify_all();
}

std::optional<std::string> engine_host::wait_for_token(std::string const& id, std::size_t index)
{
    std::unique_lock lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end())
        return std::nullopt;
    auto const held = found->second;
    m_changed.wait(
        lock, [&]
        { return held->tokens.size() > index || held->finished || held->cancelled || m_stopping; });
    if (held->tokens.size() > index)
        return held->tokens[index];
    return std::nullopt;
}

bool engine_host::finished(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    return found != m_generations.end() && found->second->finished && !found->second->cancelled;
}

void engine_host::freeze(std::chrono::milliseconds time)
{
    std::lock_guard lock(m_mutex);
    std::this_thread::sleep_for(time);
}

bool engine_host::attach(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end() || found->second->cancelled)
        return false;
    ++found->second->readers;
    return true;
}

void engine_host::detach(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    if (found == m_generations.end())
        return;
    --found->second->readers;
    found->second->detached_at = std::chrono::steady_clock::now();
}

bool engine_host::cancel(std::string const& id)
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

std::int64_t engine_host::prompt_tokens(std::string const& id)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_generations.find(id);
    return found == m_generations.end() ? 0 : found->second->prompt_tokens;
}

base::json_object engine_host::load()
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

int engine_host::accept_order(base::json_object const& order)
{
    std::lock_guard lock(m_mutex);
    auto const number = order->optValue<Poco::Int64>("fencing_number", 0);
    if (m_enforces_fencing && number < m_fencing_number)
        return 409;
    m_fencing_number = std::max<std::int64_t>(m_fencing_number, number);
    m_orders.push_back(order);
    auto const action = order->optValue<std::string>("action", "");
    auto const model = order->optValue<std::string>("model", "");
    if (action == "load_model" &&
        std::find(m_models.begin(), m_models.end(), model) == m_models.end())
        m_models.push_back(model);
    if (action == "unload_model")
        std::erase(m_models, model);
    if (action == "set_role")
        m_role = order->optValue<std::string>("role", m_role);
    return 200;
}

base::json_object engine_host::orders()
{
    std::lock_guard lock(m_mutex);
    base::json_array list = new Poco::JSON::Array;
    for (auto const& order : m_orders)
        list->add(order);
    base::json_object answer = new Poco::JSON::Object;
    answer->set("orders", list);
    return answer;
}

void engine_host::turn_cold()
{
    std::lock_guard lock(m_mutex);
    m_model.turn_cold();
}

void engine_host::set_leaving()
{
    std::lock_guard lock(m_mutex);
    m_leaving = true;
}

void engine_host::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping)
    {
        if (m_model.is_idle())
        {
            m_changed.wait_for(lock, std::chrono::milliseconds(200));
            drop_detached();
            continue;
        }
        auto const step = m_model.step();
        // A cold engine that gets more work than it can carry fails; the process ends as a real
        // engine's would.
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
        drop_detached();
    }
    m_changed.notify_all();
}

void engine_host::drop_detached()
{
    auto const now = std::chrono::steady_clock::now();
    std::erase_if(m_generations,
                  [&](auto const& entry)
                  {
                      auto const& held = *entry.second;
                      bool const expired =
                          held.readers <= 0 && now - held.detached_at > detached_lifetime;
                      if (expired)
                          m_model.cancel(entry.first);
                      return expired;
                  });
}

} // namespace jasminepier::stand_ins
