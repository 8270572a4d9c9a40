#include "services/entry/request_log.hpp"

namespace jasminepier::entry
{

base::json_object to_json(request_record const& record)
{
    base::json_array attempts = new Poco::JSON::Array;
    for (auto const& choice : record.attempts)
    {
        base::json_object attempt = new Poco::JSON::Object;
        attempt->set("service", choice.service);
        attempt->set("server", choice.server);
        attempt->set("zone", choice.zone);
        attempt->set("reason", choice.reason);
        attempt->set("candidates", choice.candidates);
        attempts->add(attempt);
    }
    base::json_object written = new Poco::JSON::Object;
    written->set("id", record.id);
    written->set("customer", record.customer);
    written->set("work_kind", record.kind);
    if (!record.model.empty())
        written->set("model", record.model);
    written->set("started_unix_seconds", record.started_unix_seconds);
    written->set("attempts", attempts);
    written->set("result", record.result);
    if (!record.code.empty())
        written->set("code", record.code);
    written->set("tokens", record.tokens);
    if (record.first_token_milliseconds >= 0)
        written->set("first_token_milliseconds", record.first_token_milliseconds);
    written->set("stalled_milliseconds", record.stalled_milliseconds);
    if (record.total_milliseconds >= 0)
        written->set("total_milliseconds", record.total_milliseconds);
    return written;
}

void request_log::begin(request_record record)
{
    std::lock_guard lock(m_mutex);
    auto const id = record.id;
    if (!m_records.emplace(id, std::move(record)).second)
        return;
    m_insertion_order.push_back(id);
    if (m_insertion_order.size() <= m_capacity)
        return;
    m_records.erase(m_insertion_order.front());
    m_insertion_order.pop_front();
}

void request_log::add_attempt(std::string const& id, route_choice choice)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_records.find(id);
    if (found == m_records.end())
        return;
    auto& attempts = found->second.attempts;
    if (attempts.size() == maximum_attempts)
        attempts.erase(attempts.begin());
    attempts.push_back(std::move(choice));
}

void request_log::finish(request_record const& ended)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_records.find(ended.id);
    if (found == m_records.end())
        return;
    auto attempts = std::move(found->second.attempts);
    found->second = ended;
    found->second.attempts = std::move(attempts);
}

std::string request_log::latest_zone(std::string const& id) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_records.find(id);
    if (found == m_records.end() || found->second.attempts.empty())
        return {};
    return found->second.attempts.back().zone;
}

std::optional<request_record> request_log::find(std::string const& id,
                                                std::string const& customer) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_records.find(id);
    if (found == m_records.end() || found->second.customer != customer)
        return std::nullopt;
    return found->second;
}

std::size_t request_log::size() const
{
    std::lock_guard lock(m_mutex);
    return m_records.size();
}

} // namespace jasminepier::entry
