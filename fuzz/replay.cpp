/// Runs a harness without libFuzzer: first with each file of the corpus, then with RUNS mutations
/// of them from SEED. Saves a failing input in the corpus. Usage: NAME CORPUS_FOLDER RUNS SEED.
#include "fuzz/harness.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <unistd.h>
#include <vector>

namespace
{

constexpr std::size_t maximum_input_bytes = 4096;
std::string current_input; // NOLINT: read by the signal handler
std::string failed_input_path;

/// Signal handler; calls only async-signal-safe functions.
extern "C" void write_failed_input(int signal)
{
    int const file = open(failed_input_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    if (file >= 0)
    {
        [[maybe_unused]] auto const written =
            write(file, current_input.data(), current_input.size());
        close(file);
    }
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

constexpr std::array<std::string_view, 20> dictionary{"{",
                                                      "}",
                                                      "[",
                                                      "]",
                                                      "\"",
                                                      ":",
                                                      ",",
                                                      "null",
                                                      "-1",
                                                      "1e999",
                                                      "\\u0000",
                                                      "\n\n",
                                                      "data:",
                                                      "true",
                                                      "9223372036854775808",
                                                      "\r\n",
                                                      "\xff\xff\xff\x7f",
                                                      "--",
                                                      "0.5",
                                                      "id:"};

std::vector<std::string> read_corpus(std::filesystem::path const& folder)
{
    std::vector<std::filesystem::path> paths;
    for (auto const& file : std::filesystem::directory_iterator(folder))
        paths.push_back(file.path());
    // The order of directory entries differs between machines.
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> corpus;
    for (auto const& path : paths)
    {
        std::ifstream in(path, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    return corpus;
}

void mutate(std::string& text, std::vector<std::string> const& corpus, std::mt19937_64& random)
{
    auto const position = text.empty() ? 0 : random() % text.size();
    switch (random() % 6)
    {
    case 0:
        if (!text.empty())
            text[position] = static_cast<char>(text[position] ^ (1 << (random() % 8)));
        break;
    case 1:
        text.insert(position, 1, static_cast<char>(random()));
        break;
    case 2:
        text.erase(position, 1 + random() % 8);
        break;
    case 3:
        text.insert(position, dictionary[random() % dictionary.size()]);
        break;
    case 4:
        text.insert(position, text.substr(position, random() % 32));
        break;
    default:
    {
        auto const& other_input = corpus[random() % corpus.size()];
        text = text.substr(0, position) +
               other_input.substr(other_input.empty() ? 0 : random() % other_input.size());
        break;
    }
    }
    text.resize(std::min(text.size(), maximum_input_bytes));
}

void run_current_input()
{
    LLVMFuzzerTestOneInput(reinterpret_cast<std::uint8_t const*>(current_input.data()),
                           current_input.size());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    auto const corpus = read_corpus(argv[1]);
    auto const seed = std::strtoull(argv[3], nullptr, 10);
    failed_input_path = std::string(argv[1]) + "/failed-" + std::to_string(seed);
    for (int const signal : {SIGABRT, SIGSEGV, SIGFPE, SIGBUS})
        std::signal(signal, write_failed_input);
    for (auto const& text : corpus)
    {
        current_input = text;
        run_current_input();
    }
    std::mt19937_64 random(seed);
    auto const run_count = std::strtol(argv[2], nullptr, 10);
    for (long run = 0; run < run_count && !corpus.empty(); ++run)
    {
        current_input = corpus[random() % corpus.size()];
        for (auto mutations = 1 + random() % 4; mutations > 0; --mutations)
            mutate(current_input, corpus, random);
        run_current_input();
    }
    std::printf("%zu corpus inputs, %ld mutated inputs\n", corpus.size(), run_count);
    return corpus.empty() ? 1 : 0;
}
