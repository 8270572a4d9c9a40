/// Runs a harness without libFuzzer: every file of the corpus, then inputs mutated from them with a
/// fixed seed. Usage: NAME CORPUS_FOLDER RUNS SEED. A failing input is stored in the corpus.
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

constexpr std::size_t maximum_input = 4096;
std::string input; // NOLINT: read by the signal handler
std::string failed_path;

/// Uses only functions that are allowed in signal handlers.
extern "C" void store_failed_input(int signal)
{
    int const file = open(failed_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    if (file >= 0)
    {
        [[maybe_unused]] auto const written = write(file, input.data(), input.size());
        close(file);
    }
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

constexpr std::array<std::string_view, 20> pieces{"{",
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
    // The order of a directory differs between machines.
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
    auto const at = text.empty() ? 0 : random() % text.size();
    switch (random() % 6)
    {
    case 0:
        if (!text.empty())
            text[at] = static_cast<char>(text[at] ^ (1 << (random() % 8)));
        break;
    case 1:
        text.insert(at, 1, static_cast<char>(random()));
        break;
    case 2:
        text.erase(at, 1 + random() % 8);
        break;
    case 3:
        text.insert(at, pieces[random() % pieces.size()]);
        break;
    case 4:
        text.insert(at, text.substr(at, random() % 32));
        break;
    default:
    {
        auto const& other = corpus[random() % corpus.size()];
        text = text.substr(0, at) + other.substr(other.empty() ? 0 : random() % other.size());
        break;
    }
    }
    text.resize(std::min(text.size(), maximum_input));
}

void run_input()
{
    LLVMFuzzerTestOneInput(reinterpret_cast<std::uint8_t const*>(input.data()), input.size());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    auto const corpus = read_corpus(argv[1]);
    auto const seed = std::strtoull(argv[3], nullptr, 10);
    failed_path = std::string(argv[1]) + "/failed-" + std::to_string(seed);
    for (int const signal : {SIGABRT, SIGSEGV, SIGFPE, SIGBUS})
        std::signal(signal, store_failed_input);
    for (auto const& text : corpus)
    {
        input = text;
        run_input();
    }
    std::mt19937_64 random(seed);
    auto const runs = std::strtol(argv[2], nullptr, 10);
    for (long run = 0; run < runs && !corpus.empty(); ++run)
    {
        input = corpus[random() % corpus.size()];
        for (auto changes = 1 + random() % 4; changes > 0; --changes)
            mutate(input, corpus, random);
        run_input();
    }
    std::printf("%zu corpus inputs, %ld mutated inputs\n", corpus.size(), runs);
    return corpus.empty() ? 1 : 0;
}
