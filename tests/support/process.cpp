#include "tests/support/process.hpp"

#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace jasminepier::tests
{

process::process(std::string const& program, std::vector<std::string> const& arguments,
                 std::vector<std::string> const& environment)
{
    std::array<char, 32> path{"/tmp/jasminepier-test-XXXXXX"};
    int const output_descriptor = mkstemp(path.data());
    if (output_descriptor < 0)
        throw std::runtime_error("cannot create the output file");
    m_output_path = path.data();
    std::string const binary = std::string(JASMINEPIER_BINARY_DIRECTORY) + "/" + program;
    std::vector<char*> argument_pointers{const_cast<char*>(binary.c_str())};
    for (auto const& argument : arguments)
        argument_pointers.push_back(const_cast<char*>(argument.c_str()));
    argument_pointers.push_back(nullptr);
    std::vector<char*> environment_pointers;
    environment_pointers.reserve(environment.size() + 1);
    for (auto const& entry : environment)
        environment_pointers.push_back(const_cast<char*>(entry.c_str()));
    for (char** inherited = environ; *inherited != nullptr; ++inherited)
        environment_pointers.push_back(*inherited);
    environment_pointers.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0)
    {
        dup2(output_descriptor, STDOUT_FILENO);
        dup2(output_descriptor, STDERR_FILENO);
        // Kills the program if the test is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A test's socket that stayed open in the child would delay the close that its peer sees.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execve(binary.c_str(), argument_pointers.data(), environment_pointers.data());
        _exit(127);
    }
    close(output_descriptor);
    if (m_pid < 0)
        throw std::runtime_error("cannot start " + binary);
}

process::process(process&& other) noexcept
    : m_pid(other.m_pid), m_status(other.m_status), m_has_exited(other.m_has_exited),
      m_output_path(std::move(other.m_output_path))
{
    other.m_pid = -1;
    other.m_output_path.clear();
}

process::~process()
{
    if (m_pid > 0 && running())
    {
        // A stopped process does not handle other signals until it is continued.
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    if (!m_output_path.empty())
        unlink(m_output_path.c_str());
}

void process::send_signal(int signal) const
{
    if (m_pid > 0 && !m_has_exited)
        kill(m_pid, signal);
}

bool process::running()
{
    if (m_has_exited || m_pid <= 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_has_exited = true;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

std::chrono::milliseconds process::processor_time() const
{
    clockid_t clock{};
    timespec used{};
    if (clock_getcpuclockid(m_pid, &clock) != 0 || clock_gettime(clock, &used) != 0)
        throw std::runtime_error("cannot read the processor time of the process");
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

bool process::has_blocked(int signal) const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string name;
    std::string value;
    while (status >> name && std::getline(status, value))
        if (name == "SigBlk:")
            return (std::stoull(value, nullptr, 16) >> (signal - 1) & 1) != 0;
    return false;
}

bool process::main_thread_has_ended() const
{
    std::ifstream stat("/proc/" + std::to_string(m_pid) + "/stat");
    std::string const text{std::istreambuf_iterator<char>(stat), {}};
    // The state follows the program's name, which is in parentheses.
    auto const name_end = text.rfind(") ");
    return name_end != std::string::npos && text.compare(name_end + 2, 1, "Z") == 0;
}

int process::wait_for_exit(int seconds)
{
    // An overloaded host may take seconds to release the memory of a program that has exited. Its
    // status cannot be read until then.
    constexpr std::chrono::seconds release_timeout{60};
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::optional<std::chrono::steady_clock::time_point> ended_at;
    while (running())
    {
        auto const now = std::chrono::steady_clock::now();
        if (!ended_at && main_thread_has_ended())
            ended_at = now;
        if (now > (ended_at ? *ended_at + release_timeout : deadline))
            return -1;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return m_status;
}

std::string process::output() const
{
    std::ifstream file(m_output_path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace jasminepier::tests
