/// Measures the request path of an entry process with many concurrent streams: its processor time
/// per token and the delay that it adds between tokens. Half of the streams go through the entry
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

struct benchmark_settings
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

/// Reads the processor time and resident memory of a process from /proc.
process_usage read_usage(int pid)
{
    process_usage usage;
    std::ifstream status_file("/proc/" + std::to_string(pid) + "/stat");
    std::string status_line;
    std::getline(status_file, status_line);
    // Parsing starts after the program's name (field 2), which may contain spaces. Fields 14 and 15
    // are the user and system time.
    std::istringstream fields(status_line.substr(status_line.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int field_number = 3; fields >> field; ++field_number)
        if (field_number == 14 || field_number == 15)
            ticks += std::stod(field);
    usage.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory_file("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    memory_file >> pages >> pages;
    usage.resident_megabytes = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    return usage;
}

struct stream_result
{
    std::vector<double> gaps_milliseconds;
    double first_token_milliseconds = 0;
    bool complete = false;
};

stream_result run_stream(backend::endpoint const& endpoint, int tokens, std::size_t stream_number)
{
    stream_result result;
    auto const start = clock_type::now();
    base::handle(
        [&]() -> base::result<void>
        {
            backend::http_exchange exchange(endpoint, {});
            backend::backend_request request{"POST", "/v1/chat/completions", {}, ""};
            request.headers["Authorization"] = "Bearer demo-key";
            request.headers["Content-Type"] = "application/json";
            request.body =
                R"({"model":"demo","stream":true,"messages":[{"role":"user","content":"Stream )" +
                std::to_string(stream_number) + " tokens=" + std::to_string(tokens) + "\"}]}";
            BOOST_LEAF_CHECK(exchange.send(request));
            BOOST_LEAF_AUTO(status, exchange.receive_status());
            if (status != 200)
                return base::fail(base::error_kind::server_failed, "refused");
            backend::event_stream_reader events(exchange.body());
            auto previous = start;
            bool is_first_token = true;
            while (auto event = events.next())
            {
                if (event->data == "[DONE]")
                {
                    result.complete = true;
                    break;
                }
                auto const now = clock_type::now();
                double const gap_milliseconds =
                    std::chrono::duration<double, std::milli>(now - previous).count();
                if (is_first_token)
                    result.first_token_milliseconds = gap_milliseconds;
                else
                    result.gaps_milliseconds.push_back(gap_milliseconds);
                is_first_token = false;
                previous = now;
            }
            return {};
        },
        [](base::error const&) {});
    return result;
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

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    auto const index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

summary summarize(std::vector<stream_result> const& results)
{
    summary total;
    std::vector<double> gaps_milliseconds;
    std::vector<double> first_tokens_milliseconds;
    for (auto const& result : results)
    {
        total.complete += result.complete ? 1 : 0;
        gaps_milliseconds.insert(gaps_milliseconds.end(), result.gaps_milliseconds.begin(),
                                 result.gaps_milliseconds.end());
        first_tokens_milliseconds.push_back(result.first_token_milliseconds);
    }
    total.tokens = gaps_milliseconds.size() + first_tokens_milliseconds.size();
    total.first_token_p95 = quantile(first_tokens_milliseconds, 0.95);
    total.gap_p50 = quantile(gaps_milliseconds, 0.50);
    total.gap_p95 = quantile(gaps_milliseconds, 0.95);
    total.gap_p99 = quantile(gaps_milliseconds, 0.99);
    return total;
}

void print_summary(char const* path, int streams, summary const& total)
{
    std::cout << path << " streams=" << streams << " complete=" << total.complete
              << " tokens=" << total.tokens << " first_token_p95_ms=" << total.first_token_p95
              << " gap_p50_ms=" << total.gap_p50 << " gap_p95_ms=" << total.gap_p95
              << " gap_p99_ms=" << total.gap_p99 << '\n';
}

void measure(tests::deployment& deployment, benchmark_settings const& settings, int streams)
{
    std::vector<stream_result> entry_results(static_cast<std::size_t>(streams));
    std::vector<stream_result> direct_results(static_cast<std::size_t>(streams));
    auto const usage_before = read_usage(deployment.program("entry-1").id());
    auto const start = clock_type::now();
    std::atomic<double> peak_memory_megabytes{0};
    std::vector<std::thread> threads;
    backend::endpoint const entry{deployment.host(), tests::entry_port_base + 1};
    for (std::size_t i = 0; i < entry_results.size(); ++i)
    {
        threads.emplace_back([&, i] { entry_results[i] = run_stream(entry, settings.tokens, i); });
        auto const engine = 1 + static_cast<int>(i) % settings.engines;
        backend::endpoint const endpoint{
            deployment.host(), static_cast<std::uint16_t>(tests::engine_port_base + engine)};
        threads.emplace_back([&, i, endpoint]
                             { direct_results[i] = run_stream(endpoint, settings.tokens, i); });
        // All streams start within about two seconds, like those of independent callers.
        std::this_thread::sleep_for(std::chrono::microseconds(2000000 / streams));
    }
    peak_memory_megabytes = read_usage(deployment.program("entry-1").id()).resident_megabytes;
    for (auto& thread : threads)
        thread.join();
    auto const usage_after = read_usage(deployment.program("entry-1").id());
    double const elapsed_seconds = std::chrono::duration<double>(clock_type::now() - start).count();
    auto const entry_summary = summarize(entry_results);
    print_summary("entry ", streams, entry_summary);
    print_summary("direct", streams, summarize(direct_results));
    double const cpu_seconds = usage_after.cpu_seconds - usage_before.cpu_seconds;
    std::cout << "process streams=" << streams << " cpu_microseconds_per_token="
              << cpu_seconds * 1e6 / static_cast<double>(entry_summary.tokens)
              << " cores=" << cpu_seconds / elapsed_seconds
              << " resident_megabytes=" << peak_memory_megabytes << " tokens_per_second="
              << static_cast<double>(entry_summary.tokens) / elapsed_seconds << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    base::settings_parser parser("Measures the request path of an entry process", "request-path");
    benchmark_settings settings;
    parser.add("host", settings.host, "Loopback address to run on");
    parser.add("engines", settings.engines, "Stand-in engines");
    parser.add("step-milliseconds", settings.step_milliseconds, "Decode step of an engine");
    parser.add("tokens", settings.tokens, "Tokens of each stream");
    parser.add("streams", settings.streams, "Streams through the entry process, one run each");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    tests::deployment deployment(settings.host);
    for (int engine = 1; engine <= settings.engines; ++engine)
        deployment.start_engine(engine,
                                {"--step-milliseconds", std::to_string(settings.step_milliseconds),
                                 "--max-running", "1000", "--kv-capacity-tokens", "10000000"});
    deployment.start_node(1);
    if (!deployment.wait_until_ready(1))
    {
        std::cerr << "the entry process did not become ready\n";
        return 1;
    }
    for (int streams : settings.streams)
        measure(deployment, settings, streams);
    return 0;
}
