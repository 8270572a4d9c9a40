/// Runs a node against servers whose answers never end, or end within their head.
#include "tests/support/node_fixture.hpp"

#include <fstream>
#include <future>
#include <thread>
#include <vector>

namespace jasminepier::tests
{
namespace
{

using std::chrono::seconds;

// The smallest VM of the platform.
constexpr long vm_memory_kilobytes = 88L * 1024;

class faulty_answer_test : public node_fixture
{
protected:
    long peak_memory_kilobytes()
    {
        std::ifstream process_status("/proc/" + std::to_string(m_node.program().id()) + "/status");
        std::string field;
        long kilobytes = 0;
        while (process_status >> field)
            if (field == "VmHWM:")
                process_status >> kilobytes;
        return kilobytes;
    }
};

// Guards against a server that fills the node's memory with a head, which ends the requests of
// other callers with the process.
TEST_F(faulty_answer_test, heads_without_end_are_cut_and_leave_memory_for_other_requests)
{
    start_until_ready();
    constexpr int call_count = 24;
    std::vector<std::future<caller_response>> endless_calls;
    endless_calls.reserve(call_count);
    char const* const paths[] = {"/check/", "/order/", "/plan/", "/question/"};
    for (int i = 0; i < call_count; ++i)
        endless_calls.push_back(std::async(
            std::launch::async,
            [this, i, &paths]
            {
                return call_node(m_node.ports().callers,
                                 make_request("POST", std::string(paths[i % 4]) + "endless-head",
                                              "endless-" + std::to_string(i)));
            }));
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
    for (auto& endless_call : endless_calls)
    {
        auto const response = endless_call.get();
        EXPECT_TRUE(response.is_complete);
        EXPECT_TRUE(response.status == 502 || response.status == 503) << response.status;
    }
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
    EXPECT_GT(peak_memory_kilobytes(), 0);
    EXPECT_LT(peak_memory_kilobytes(), vm_memory_kilobytes);
}

// Guards against a success with an empty body for callers whose server ended within the head.
TEST_F(faulty_answer_test, head_that_ends_early_is_no_success)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    for (auto const* path : {"/check/", "/order/", "/plan/", "/question/"})
    {
        auto const response = call("POST", std::string(path) + "short-head");
        EXPECT_EQ(response.status, 502) << path;
        EXPECT_TRUE(response.is_complete) << path;
    }
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
}

} // namespace
} // namespace jasminepier::tests
