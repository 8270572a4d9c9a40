/// Reservation of ports for test programs.
#include "tests/support/connection_server.hpp"
#include "tests/support/port_reservation.hpp"
#include "tests/support/process.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace jasminepier::tests
{
namespace
{

// Guards against two users of one port.
TEST(port_reservation, blocks_do_not_overlap)
{
    auto const first = reserve_ports(2 * port_block_size);
    auto const second = reserve_ports();
    EXPECT_TRUE(second + port_block_size <= first || second >= first + 2 * port_block_size);
}

// Guards against a block in which a program without a reservation listens.
TEST(port_reservation, skips_blocks_with_a_port_in_use)
{
    auto const first = reserve_ports();
    connection_server const server(static_cast<std::uint16_t>(first + port_block_size + 50),
                                   [](Poco::Net::StreamSocket&) {});
    auto const second = reserve_ports();
    EXPECT_TRUE(server.port() < second || server.port() >= second + port_block_size);
}

// Guards against programs that start at the same time and keep taking blocks out of each other's
// runs.
TEST(port_reservation, programs_that_start_together_all_get_their_ports)
{
    constexpr int program_count = 4;
    for (int round = 0; round < 20; ++round)
    {
        std::vector<pid_t> programs;
        for (int i = 0; i < program_count; ++i)
        {
            auto const pid = fork();
            ASSERT_GE(pid, 0);
            if (pid == 0)
            {
                try
                {
                    reserve_ports(3 * port_block_size);
                    _exit(0);
                }
                catch (std::exception const&)
                {
                    _exit(1);
                }
            }
            programs.push_back(pid);
        }
        for (auto const pid : programs)
        {
            int status = 0;
            ASSERT_EQ(waitpid(pid, &status, 0), pid);
            EXPECT_EQ(status, 0);
        }
    }
}

TEST(port_reservation, fails_if_there_are_too_few_ports)
{
    EXPECT_THROW(reserve_ports(50000), std::runtime_error);
}

// Guards against a soak that aborts without a reason.
TEST(port_reservation, soak_names_the_ports_if_one_is_in_use)
{
    connection_server const server(reserve_ports(), [](Poco::Net::StreamSocket&) {});
    auto const port = std::to_string(server.port());
    process soak("tests/soak/fault-soak", {"--first-port", port});
    EXPECT_EQ(soak.wait_for_exit(20), 2);
    EXPECT_NE(soak.output().find("cannot start with the ports from " + port + " on: "),
              std::string::npos)
        << soak.output();
}

} // namespace
} // namespace jasminepier::tests
