/// Measures nanoseconds per observation of metrics::duration_histogram and, as a baseline, of a
/// histogram with a mutex. Rounds alternate between the two; the median of the rounds is printed.
#include "metrics/instruments.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

namespace
{

using namespace jasminepier;

constexpr std::array upper_bounds{0.005, 0.01, 0.02,  0.03, 0.038, 0.05,
                                  0.075, 0.1,  0.152, 0.3,  1.0,   5.0};
constexpr int observations_per_thread = 200000;
constexpr int rounds = 15;

/// The baseline: a histogram that takes a lock for each observation.
class locked_histogram
{
public:
    void observe(std::chrono::microseconds value)
    {
        std::lock_guard lock(m_mutex);
        auto const seconds = static_cast<double>(value.count()) / 1e6;
        auto const bucket = std::lower_bound(upper_bounds.begin(), upper_bounds.end(), seconds) -
                            upper_bounds.begin();
        ++m_counts[static_cast<std::size_t>(bucket)];
        m_sum += seconds;
    }

private:
    std::mutex m_mutex;
    std::array<std::uint64_t, upper_bounds.size() + 1> m_counts{};
    double m_sum = 0;
};

template <class Histogram>
double nanoseconds_per_observation(Histogram& histogram, int threads)
{
    auto const start = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(threads));
    for (int worker = 0; worker < threads; ++worker)
        workers.emplace_back(
            [&histogram, worker]
            {
                for (int i = 0; i < observations_per_thread; ++i)
                    histogram.observe(std::chrono::microseconds((i * 37 + worker) % 200000));
            });
    for (auto& worker : workers)
        worker.join();
    auto const elapsed = std::chrono::steady_clock::now() - start;
    return std::chrono::duration<double, std::nano>(elapsed).count() / observations_per_thread;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void compare(int threads)
{
    std::vector<double> atomic_times;
    std::vector<double> mutex_times;
    for (int round = 0; round < rounds; ++round)
    {
        metrics::duration_histogram atomic_histogram(upper_bounds);
        locked_histogram mutex_histogram;
        atomic_times.push_back(nanoseconds_per_observation(atomic_histogram, threads));
        mutex_times.push_back(nanoseconds_per_observation(mutex_histogram, threads));
    }
    std::printf("threads=%d atomic_ns=%.1f mutex_ns=%.1f\n", threads, median(atomic_times),
                median(mutex_times));
}

} // namespace

int main()
{
    for (int const threads : {1, 2, 4, 8})
        compare(threads);
    // For comparison: a token causes at most two observations, its gap (or the time to the first
    // token) and, at the end of its request, the request's stall time.
    std::printf("tokens per second at full size: 13500\n");
}
