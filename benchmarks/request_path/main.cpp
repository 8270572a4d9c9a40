/// Measures the request path: how many streams one entry process carries, its processor time per
/// token and the delay that it adds between tokens. Half of the streams go through the entry
/// process and half directly to the same engines, in the same run.
#include "backend/event_stream.hpp"
#include "base/settings.hpp"
#include "tests/support/deployment.hpp"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

using namespace jasminepier;
using clock_type = std::chrono::steady_clock;

struct settings
{
    std::string host = "127.0.20.1";
    int engines = 8;
    double step_milliseconds = 36;
    int tokens = 150;
    std::vector<int> streams{50, 100, 250, 500};
};

struct process_usage
{
    double cpu_seconds = 0;
    double resident_megabytes = 0;
};

/// Reads what the kernel accounts for a process.
process_usage read_usage(int pid)
{
    process_usage usage;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    // Fields are counted after the program's name, which may contain spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int number = 3; fields >> field; ++number)
        if (number == 14 || number == 15)
            ticks += std::stod(field);
    usage.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    memory >> pages >> pages;
    usage.resident_megabytes = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    return usage;
}

/// What one stream saw; times in milliseconds.
struct stream_result
{
    std::vector<double> gaps;
    double first_token = 0;
    bool complete = false;
};

stream_result run_stream(backend::endpoint const& target, int tokens, std::size_t number)
{
    stream_result seen;
    auto const started = clock_type::now();
    base::handle(
        [&]() -> base::result<void>
        {
            backend::http_exchange exchange(target, {});
            backend::backend_request request{"POST", "/v1/chat/completions", {}, ""};
            request.headers["Authorization"] = "Bearer demo-key";
            request.headers["Content-Type"] = "application/json";
            request.body =
                R"({"model":"demo","stream":true,"messages":[{"role":"user","content":"Stream )" +
                std::to_string(number) + " tokens=" + std::to_string(tokens) + "\"}]}";
            BOOST_LEAF_CHECK(exchange.send(request));
            BOOST_LEAF_AUTO(status, exchange.receive_status());
            if (status != 200)
                return base::fail(base::error_kind::server_failed, "refused");
            backend::event_stream_reader events(exchange.body());
            auto previous = started;
            bool first = true;
            while (auto event = events.next())
            {
                if (event->data == "[DONE]")
                {
                    seen.complete = true;
                    break;
                }
                auto const now = clock_type::now();
                double const gap =
                    std::chrono::duration<double, std::milli>(now - previous).count();
                if (first)
                    seen.first_token = gap;
                else
                    seen.gaps.push_back(gap);
                first = false;
                previous = now;
            }
            return {};
        },
        [](base::error const&) {});
    return seen;
}

struct summary
{
    std::size_t tokens = 0;
    int complete = 0;
    double first_token_p95 = 0;
    double gap_p50 = 0;
    double gap_p95 = 0;
    double gap_p99 = 0;
};

double quantile(std::vector<double>& values, double level)
{
    if (values.empty())
        return 0;
    auto const position = static_cast<std::size_t>(level * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

summary summarize(std::vector<stream_result> const& results)
{
    summary total;
    std::vector<double> gaps;
    std::vector<double> first;
    for (auto const& result : results)
    {
        total.complete += result.complete ? 1 : 0;
        gaps.insert(gaps.end(), result.gaps.begin(), result.gaps.end());
        first.push_back(result.first_token);
    }
    total.tokens = gaps.size() + first.size();
    total.first_token_p95 = quantile(first, 0.95);
    total.gap_p50 = quantile(gaps, 0.50);
    total.gap_p95 = quantile(gaps, 0.95);
    total.gap_p99 = quantile(gaps, 0.99);
    return total;
}

void print(char const* path, int streams, summary const& seen)
{
    std::cout << path << " streams=" << streams << " complete=" << seen.complete
              << " tokens=" << seen.tokens << " first_token_p95_ms=" << seen.first_token_p95
              << " gap_p50_ms=" << seen.gap_p50 << " gap_p95_ms=" << seen.gap_p95
              << " gap_p99_ms=" << seen.gap_p99 << '\n';
}

void measure(tests::deployment& running, settings const& chosen, int streams)
{
    std::vector<stream_result> routed(static_cast<std::size_t>(streams));
    std::vector<stream_result> direct(static_cast<std::size_t>(streams));
    auto const before = read_usage(running.program("entry-1").id());
    auto const started = clock_type::now();
    std::atomic<double> peak_memory{0};
    std::vector<std::thread> threads;
    backend::endpoint const entry{running.host(), tests::entry_port_base + 1};
    for (std::size_t i = 0; i < routed.size(); ++i)
    {
        threads.emplace_back([&, i] { routed[i] = run_stream(entry, chosen.tokens, i); });
        auto const engine = 1 + static_cast<int>(i) % chosen.engines;
        backend::endpoint const target{
            running.host(), static_cast<std::uint16_t>(tests::engine_port_base + engine)};
        threads.emplace_back([&, i, target] { direct[i] = run_stream(target, chosen.tokens, i); });
        // Streams start over about two seconds, as independent callers would.
        std::this_thread::sleep_for(std::chrono::microseconds(2000000 / streams));
    }
    peak_memory = read_usage(running.program("entry-1").id()).resident_megabytes;
    for (auto& thread : threads)
        thread.join();
    auto const after = read_usage(running.program("entry-1").id());
    double const seconds = std::chrono::duration<double>(clock_type::now() - started).count();
    auto const seen = summarize(routed);
    print("entry ", streams, seen);
    print("direct", streams, summarize(direct));
    double const cpu = after.cpu_seconds - before.cpu_seconds;
    std::cout << "process streams=" << streams
              << " cpu_microseconds_per_token=" << cpu * 1e6 / static_cast<double>(seen.tokens)
              << " cores=" << cpu / seconds << " resident_megabytes=" << peak_memory
              << " tokens_per_second=" << static_cast<double>(seen.tokens) / seconds << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    base::settings_parser parser("Measures the request path of an entry process", "request-path");
    settings chosen;
    parser.add("host", chosen.host, "Loopback address to run on");
    parser.add("engines", chosen.engines, "Stand-in engines");
    parser.add("step-milliseconds", chosen.step_milliseconds, "Decode step of an engine");
    parser.add("tokens", chosen.tokens, "Tokens of each stream");
    parser.add("streams", chosen.streams, "Streams through the entry process, one run each");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    tests::deployment running(chosen.host);
    for (int engine = 1; engine <= chosen.engines; ++engine)
        running.start_engine(engine,
                             {"--step-milliseconds", std::to_string(chosen.step_milliseconds),
                              "--max-running", "1000", "--kv-capacity-tokens", "10000000"});
    running.start_node(1);
    if (!running.wait_until_ready(1))
    {
        std::cerr << "the entry process did not become ready\n";
        return 1;
    }
    for (int streams : chosen.streams)
        measure(running, chosen, streams);
    return 0;
}
