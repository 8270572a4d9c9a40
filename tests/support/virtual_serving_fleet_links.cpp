/// Pulls, and the bytes of pulls and of the store's responses on limited links.
#include "tests/support/virtual_serving_fleet.hpp"

#include <algorithm>

namespace jasminepier::tests
{
namespace
{

// Size of an object that is no configuration.
constexpr std::int64_t small_object_bytes = 300;

} // namespace

std::int64_t virtual_serving_fleet::size_of(std::span<store::object const> objects) const
{
    std::int64_t bytes = 0;
    for (auto const& object : objects)
        bytes +=
            object.kind == kinds.configuration ? m_configuration_size.pulled : small_object_bytes;
    return bytes;
}

int virtual_serving_fleet::count_downloads(int number) const
{
    auto const& receiver = m_nodes[index(number)];
    auto const responses = std::count_if(
        receiver.store_threads.begin(), receiver.store_threads.end(),
        [](store_thread const& each) { return each.current == store_thread::activity::receiving; });
    return static_cast<int>(responses) +
           (receiver.pull && receiver.pull->remaining_bytes > 0 ? 1 : 0);
}

int virtual_serving_fleet::count_uploads(int number) const
{
    auto const name = "n" + std::to_string(number);
    return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(),
                                          [&](member const& each) {
                                              return each.pull && each.pull->remaining_bytes > 0 &&
                                                     each.pull->pull.peer.name == name;
                                          }));
}

void virtual_serving_fleet::move_bytes()
{
    if (m_link_rate <= 0)
        return;
    auto const link_bytes = m_link_rate * static_cast<double>(step_length.count());
    std::vector<double> pulled(m_nodes.size());
    std::vector<double> answered(m_nodes.size());
    for (int i = 0; i < size(); ++i)
    {
        auto const downloads = count_downloads(i);
        if (downloads == 0 || !m_nodes[index(i)].runs())
            continue;
        answered[index(i)] = link_bytes / downloads;
        auto const& pull = m_nodes[index(i)].pull;
        if (!pull || pull->remaining_bytes <= 0)
            continue;
        int const source = number_of(pull->pull.peer.name);
        if (m_nodes[index(source)].runs() && !is_blocked(i, source))
            pulled[index(i)] = link_bytes / std::max(downloads, count_uploads(source));
    }
    for (int i = 0; i < size(); ++i)
    {
        auto& receiver = m_nodes[index(i)];
        if (receiver.pull)
            receiver.pull->remaining_bytes -= pulled[index(i)];
        for (auto& thread : receiver.store_threads)
            if (thread.current == store_thread::activity::receiving)
                thread.remaining_bytes -= answered[index(i)];
    }
}

void virtual_serving_fleet::start_pull(int number, serving::object_pull const& pull)
{
    auto& local = m_nodes[index(number)];
    m_pulls += local.earlier_version ? 0 : 1;
    int const peer = number_of(pull.peer.name);
    auto const& source = m_nodes[index(peer)];
    running_pull started{
        pull, m_now, m_now + random_time(20, static_cast<int>(m_slowest_pull.count())),
        true, 0,     {}};
    if (source.killed)
        started.succeeds = false;
    else if (source.frozen || is_blocked(number, peer))
    {
        started.succeeds = false;
        started.end = m_now + pull_timeout;
    }
    else
    {
        started.objects = serving::select_pulled_objects(kinds, source.objects, pull.since,
                                                         pull.held_configuration);
        started.remaining_bytes = static_cast<double>(size_of(started.objects));
    }
    local.pull = std::move(started);
}

void virtual_serving_fleet::receive_response(int number, store_thread& thread)
{
    if (m_link_rate <= 0 || thread.kind != kinds.configuration)
        return finish_store_call(number, thread);
    thread.current = store_thread::activity::receiving;
    thread.remaining_bytes = static_cast<double>(m_configuration_size.stored);
}

} // namespace jasminepier::tests
