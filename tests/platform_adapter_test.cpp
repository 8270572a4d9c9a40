/// Decoding of the platform's headers, objects, store pages and settings file. No network.
#include "platform/engine_calls.hpp"
#include "platform/headers.hpp"
#include "platform/objects.hpp"
#include "platform/rollouts.hpp"
#include "platform/settings.hpp"
#include "platform/store_dialect.hpp"
#include "services/node/peer_link.hpp"
#include "store/response_parsing.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace jasminepier::platform
{
namespace
{

http::request make_caller_request()
{
    http::request request;
    request.method = "POST";
    request.target = "/plan/7?x=1";
    request.body = "body";
    for (auto const& [name, value] : std::initializer_list<std::pair<char const*, char const*>>{
             {"Host", "Shop.Example:8080"},
             {"Attempt-Id", "9c41"},
             {"Model", "m"},
             {"Token-Usage", "1460,80"},
             {"Length-Hint", "55"},
             {"Deadline-Ms", "39000"},
             {"Authorization", "Token secret"},
             {"Tenant", "forged"},
             {"Kv-From", "10.0.0.1:80/forged"},
             {"Kv-Backup", "10.0.0.1:80"},
             {"Kv-Retention", "forged"},
             {"Pin-Ms", "99"},
             {"Expect-Instance", "forged"},
             {"Request-Priority", "0"},
             {"Connection", "keep-alive, X-Hop"},
             {"X-Hop", "1"},
             {"X-Other", "kept"}})
        request.headers.add(name, value);
    return request;
}

TEST(platform_headers, decodes_request_metadata)
{
    auto const metadata = read_request_metadata(make_caller_request());
    EXPECT_EQ(metadata.request_id, "9c41");
    EXPECT_EQ(metadata.host, "shop.example");
    EXPECT_EQ(metadata.api_key, "secret");
    EXPECT_EQ(metadata.prompt_tokens, 1460);
    EXPECT_EQ(metadata.maximum_output_tokens, 80);
    EXPECT_EQ(metadata.estimated_output_tokens, 55);
    EXPECT_EQ(metadata.timeout, base::milliseconds(39000));
}

// Guards against forwarding a caller's forged values of reserved fields to a server.
TEST(platform_headers, replaces_reserved_fields)
{
    serving::forwarded_metadata metadata;
    metadata.customer = "huka";
    metadata.server_id = "i-1";
    metadata.time_left = base::milliseconds(1200);
    auto const forwarded = make_forwarded_request(make_caller_request(), metadata);
    EXPECT_EQ(forwarded.target, "/plan/7?x=1");
    EXPECT_EQ(forwarded.body, "body");
    EXPECT_EQ(forwarded.headers.find("Attempt-Id"), "9c41");
    EXPECT_EQ(forwarded.headers.find("X-Other"), "kept");
    EXPECT_EQ(forwarded.headers.find("Deadline-Ms"), "1200");
    EXPECT_EQ(forwarded.headers.count("Deadline-Ms"), 1U);
    EXPECT_EQ(forwarded.headers.find("Tenant"), "huka");
    EXPECT_EQ(forwarded.headers.count("Tenant"), 1U);
    EXPECT_EQ(forwarded.headers.find("Expect-Instance"), "i-1");
    EXPECT_EQ(forwarded.headers.count("Request-Priority"), 1U);
    for (auto const* name :
         {"Authorization", "Kv-From", "Kv-Backup", "Kv-Retention", "Pin-Ms", "X-Hop", "Connection"})
        EXPECT_FALSE(forwarded.headers.find(name)) << name;
}

TEST(platform_headers, decodes_response_metadata)
{
    http::response response;
    response.status = 421;
    EXPECT_TRUE(read_response_metadata(response).declined);
    EXPECT_TRUE(read_response_metadata(response).wrong_server);
    response.status = 503;
    EXPECT_FALSE(read_response_metadata(response).declined);
    response.headers.add("Not-Executed", "1");
    response.headers.add("Server-Load", "3,1,8");
    response.headers.add("Keep-Alive", "timeout=5");
    response.headers.add("Server-Leaving", "1");
    auto const metadata = read_response_metadata(response);
    EXPECT_TRUE(metadata.declined);
    EXPECT_FALSE(metadata.has_signature);
    EXPECT_EQ(metadata.running, 3);
    EXPECT_EQ(metadata.waiting, 1);
    EXPECT_EQ(metadata.keep_alive_seconds, 5);
    EXPECT_TRUE(metadata.server_leaving);
}

TEST(platform_headers, decodes_limits_of_servers)
{
    auto const read_limit = [](std::string const& text)
    {
        http::response response;
        response.headers.add("Server-Limit", text);
        return read_response_metadata(response).request_rate_limit;
    };
    EXPECT_EQ(read_limit("4.6"), 4.6);
    EXPECT_EQ(read_limit("0"), 0.0);
    for (auto const* const text : {"", "many", "-1", "nan", "inf", "1e999"})
        EXPECT_EQ(read_limit(text), std::nullopt) << text;
}

TEST(platform_headers, decodes_pauses_of_servers)
{
    auto const read_pause = [](int status, std::string const& text)
    {
        http::response response;
        response.status = status;
        response.headers.add("Retry-After", text);
        return read_response_metadata(response).pause;
    };
    EXPECT_EQ(read_pause(503, "1.5"), base::milliseconds(1500));
    EXPECT_EQ(read_pause(503, "1e300"), std::chrono::hours(1));
    EXPECT_EQ(read_pause(429, "2"), std::nullopt);
    for (auto const* const text : {"", "soon", "-1", "Wed, 21 Oct 2026 07:28:00 GMT"})
        EXPECT_EQ(read_pause(503, text), std::nullopt) << text;
}

// Guards against versions that are out of order since an epoch could not be read or is too large.
TEST(platform_store, decodes_epochs)
{
    auto const read_epoch = [](std::string const& text)
    {
        http::header_list headers;
        headers.add("Store-Era", text);
        return store_dialect::read_epoch(headers);
    };
    EXPECT_EQ(read_epoch("1"), 0);
    EXPECT_EQ(read_epoch("3"), 2);
    EXPECT_EQ(store_dialect::read_epoch({}), 0);
    for (auto const* const text : {"", "x", "-1", "1.5", "0", "99999999999999999999", "4194305"})
        EXPECT_EQ(read_epoch(text), 0) << text;
    EXPECT_EQ(store::epoch_of(store::make_version(read_epoch("4194304"), 7)), 4194303);
    EXPECT_EQ(store::revision_of(store::make_version(4194303, 7)), 7);
    EXPECT_EQ(store::format_version(store::make_version(2, 28)), "2.28");
    EXPECT_EQ(store::format_version(28), "28");
}

// Guards against a list that cannot be read because of one object, on the project's own API.
TEST(native_store, reads_other_objects_beside_an_unreadable_one)
{
    auto const page = store::parse_page(
        R"({"version":9,"items":[{"kind":"server","name":"odd","version":8,"value":{"x":1e999}},)"
        R"({"kind":"server","name":"s1","version":7,"value":{"y":1}}]})",
        store::page_kind::list);
    ASSERT_TRUE(page);
    ASSERT_EQ(page->objects.size(), 2U);
    EXPECT_EQ(page->objects[0].value, "");
    EXPECT_EQ(page->objects[1].value, R"({"y":1})");
}

std::string const configuration_text =
    R"({"version":7,"routes":[)"
    R"({"name":"r1","host":"a.example","path_prefix":"/p/","route_type":"streaming",)"
    R"("timeout_ms":6000,"target_latency_ms":1500,"service":"llm","max_attempts":2,)"
    R"("stream_resume":true,"target_itl_ms":180},)"
    R"({"name":"r2","host":"a.example","path_prefix":"/p/deep/","route_type":"non_idempotent",)"
    R"("weighted_services":[{"service":"llm","weight":9},{"service":"app","weight":1}],)"
    R"("public":true}],)"
    R"("services":[{"name":"llm","warmup_per_s":37.0,"engine":{"slots":24,"kv_capacity":34228,)"
    R"("kv_bytes":262144,"link_mbps":38000.0,"moves":true}},{"name":"app"}],)"
    R"("limits":{"max_header_bytes":1000,"idle_timeout_ms":9000},)"
    R"("tenants":[{"name":"huka","api_keys":["k1","k2"],"priority":1}]})";

TEST(platform_objects, decodes_a_configuration)
{
    store::object const source{"config", "main", 12, configuration_text, false};
    auto const parsed = parse_configuration(source);
    ASSERT_TRUE(parsed);
    auto const& configuration = **parsed;
    EXPECT_EQ(configuration.version, 7);
    EXPECT_EQ(configuration.revision, 12);
    EXPECT_EQ(configuration.limits.maximum_header_bytes, 1000U);
    auto const* plain_route = configuration.find_route("a.example", "/p/deep/1");
    ASSERT_NE(plain_route, nullptr);
    EXPECT_EQ(plain_route->name, "r2");
    EXPECT_FALSE(plain_route->requires_key);
    EXPECT_EQ(plain_route->idempotency, serving::request_idempotency::non_idempotent);
    EXPECT_EQ(plain_route->services.size(), 2U);
    auto const* stream_route = configuration.find_route("a.example", "/p/1");
    ASSERT_NE(stream_route, nullptr);
    EXPECT_EQ(stream_route->idempotency, serving::request_idempotency::resumable);
    EXPECT_EQ(stream_route->maximum_attempts, 2);
    EXPECT_EQ(configuration.find_route("b.example", "/p/1"), nullptr);
    EXPECT_EQ(configuration.find_route("a.example", "/q/"), nullptr);
    EXPECT_TRUE(configuration.find_service("llm")->engine->can_move_generations);
    EXPECT_EQ(configuration.customers_by_key.at("k2").priority, 1);
}

// Guards against applying a part of an invalid configuration.
TEST(platform_objects, rejects_an_invalid_configuration)
{
    for (std::string const text :
         {"", "[]", R"({"routes":[]})", R"({"version":1,"routes":7})",
          R"({"version":1,"routes":[{"host":"a","path_prefix":"/","route_type":"odd"}]})"})
        EXPECT_FALSE(parse_configuration({"config", "main", 1, text, false})) << text;
}

// Guards against servers from entries that other writers stored.
TEST(platform_objects, rejects_server_entries_with_missing_or_invalid_members)
{
    std::string const valid_entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":24,"state":"ready","born":5})";
    auto const parsed = parse_server({"servers", "i-1", 3, valid_entry, false});
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->id, "i-1");
    EXPECT_EQ(parsed->started_unix_milliseconds, 5);
    for (std::string const text :
         {"", "null", R"({"service":"s"})",
          R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":24,"state":"odd"})",
          R"({"service":"s","address":7,"zone":"a","slots":24,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":"x","state":"ready"})"})
        EXPECT_FALSE(parse_server({"servers", "i-1", 3, text, false})) << text;
}

// Guards against orders that move a service by mistake, and against a state of an earlier order.
TEST(platform_objects, decodes_orders_of_rollouts)
{
    auto const parse = [](std::string const& value) {
        return parse_rollout({rollout_kind, "shop", 9, value, false});
    };
    std::string const spec = R"({"spec":{"service":"shop","to":"v2","duration_s":60},)";
    auto const order =
        parse(spec + R"("status":{"state":"rolled_back","to":"v2","started_ms":5},"created":3})");
    ASSERT_TRUE(order);
    EXPECT_EQ(order->duration, base::milliseconds(60000));
    EXPECT_EQ(order->written, serving::rollout_state::rolled_back);
    auto const again = parse(spec + R"("status":{"state":"completed","to":"v1"},"created":4})");
    ASSERT_TRUE(again);
    EXPECT_FALSE(again->written);
    EXPECT_NE(again->id, order->id);
    auto const longer =
        parse(spec + R"("status":)" +
              write_rollout_status({"shop", "v2", 7, serving::rollout_state::completed,
                                    base::milliseconds(5), 5, base::milliseconds(30000)},
                                   9) +
              "}");
    ASSERT_TRUE(longer);
    EXPECT_FALSE(longer->written);
    for (auto const* const text :
         {"", "{}", R"({"spec":{"service":"shop","to":"v2","duration_s":0}})",
          R"({"spec":{"service":"shop","to":"v2","duration_s":-1}})",
          R"({"spec":{"service":"shop","to":"v2","duration_s":"60"}})",
          R"({"spec":{"service":"shop","to":"","duration_s":60}})",
          R"({"spec":{"service":"shop","to":2,"duration_s":60}})",
          R"({"spec":{"service":"other","to":"v2","duration_s":60}})"})
        EXPECT_FALSE(parse(text)) << text;
}

TEST(platform_store, builds_requests_and_parses_pages)
{
    EXPECT_EQ(store_dialect::list("servers", "i-1").path, "/objects/servers?after_revision=i-1");
    EXPECT_EQ(store_dialect::watch(530, {"servers"}, std::chrono::milliseconds(20000)).path,
              "/objects/servers?watch=530&wait_ms=20000");
    EXPECT_EQ(store_dialect::create({"nodes", "n", 0, "{}", false}).method, "POST");
    auto const page = store_dialect::read_list(
        R"({"items":[{"metadata":{"name":"i-1","revision":4},"spec":{"a":1},"status":null},)"
        R"({"metadata":{"name":"i-2","revision":5},"spec":"text"}],"has_more":true,"at":9})",
        "servers");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->version, 9);
    EXPECT_EQ(page->objects[0].value, R"({"a":1})");
    EXPECT_EQ(page->objects[1].value, "");
    EXPECT_EQ(page->next_after, "i-2");
    auto const events = store_dialect::read_events(
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"i-1","revision":6}}}],"at":6})",
        {"servers"});
    ASSERT_TRUE(events);
    EXPECT_TRUE(events->objects[0].deleted);
    EXPECT_EQ(store_dialect::read_write_status(503), store::write_response::refused);
    EXPECT_EQ(store_dialect::read_write_status(500), store::write_response::unknown);
}

// Guards against sending an engine a request of another engine's making: handles are written into
// the heads of requests.
TEST(platform_engine, handle_with_a_blank_or_a_control_byte_is_not_used)
{
    for (std::string const handle : {"h 1", " h1", "h1 HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n", "h\\n1",
                                     "h\\t1", "h\\u00011", "h\\u007f1", "h\\u00e91"})
        EXPECT_EQ(read_copy_response("{\"kv_handle\":\"" + handle + "\",\"created\":12}").handle,
                  "")
            << handle;
    for (std::string const handle : {"h1", "h-1_2.3~4", "4be1:7/2", "a+b=="})
        EXPECT_EQ(read_copy_response("{\"kv_handle\":\"" + handle + "\",\"created\":12}").handle,
                  handle);
}

TEST(platform_engine, parses_copy_responses_and_reports)
{
    EXPECT_EQ(read_copy_response(R"({"kv_handle":"h1","created":12})").handle, "h1");
    EXPECT_EQ(read_copy_response("no json").handle, "");
    EXPECT_TRUE(report_shows_draining(R"({"state":"draining"})"));
    EXPECT_FALSE(report_shows_draining(R"({"state":"ready"})"));
    EXPECT_FALSE(report_shows_draining("no json"));
}

class settings_file : public testing::Test
{
protected:
    void write(std::string const& text)
    {
        std::ofstream file(m_path);
        file << text;
    }
    void TearDown() override { std::remove(m_path.c_str()); }
    std::string m_path = testing::TempDir() + "platform_settings.toml";
};

std::string const settings_text = R"(node_name = "edge-1"
ip = "10.1.0.19"
zone = "z"
region = "r"
internal_port_range = [7200,7215]
unknown = true
[listen]
frontend = "10.1.0.19:8740"
readiness = "10.1.0.19:8749"
registry = "10.1.0.19:8746"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 56
ttl_max_s = 5
[platform]
address = "10.200.1.7:8742"
)";

TEST_F(settings_file, decodes_all_used_fields)
{
    write(settings_text);
    auto const settings = read_settings(m_path);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->caller_endpoint.text(), "10.1.0.19:8740");
    EXPECT_EQ(settings->peer_port, 7200);
    EXPECT_EQ(settings->shutdown_grace_period, base::milliseconds(8000));
    EXPECT_EQ(settings->retry_limits.slack, 56);
}

// Guards against a process that starts with incomplete settings.
TEST_F(settings_file, names_the_missing_field)
{
    for (std::string const field : {"node_name", "frontend", "address", "grace_s"})
    {
        auto text = settings_text;
        text.replace(text.find(field), 2, "xx");
        write(text);
        auto const message = base::handle(
            [&]() -> base::result<std::string>
            {
                BOOST_LEAF_CHECK(read_settings(m_path));
                return std::string{};
            },
            [](base::error const& failure) { return failure.message; });
        EXPECT_NE(message.find(field), std::string::npos) << message;
    }
}

// Guards against taking the one revision of a node of an earlier version for a known evacuation.
TEST(node_report, fields_that_an_earlier_version_leaves_out_are_unknown)
{
    inner_protocol::node_report report;
    report.node = "n1";
    report.caller_address = "10.0.0.1:8740";
    report.configuration_revision = 298;
    auto const decode = [&]
    {
        return base::handle(
            [&]() -> base::result<serving::node_state_report>
            {
                BOOST_LEAF_AUTO(decoded, inner_protocol::decode_node_report(
                                             inner_protocol::encode_node_report(report)));
                return node::read_state_report(decoded);
            },
            [](base::error const&) { return serving::node_state_report{}; });
    };
    auto const earlier = decode();
    EXPECT_EQ(earlier.entry.peer_host, "10.0.0.1");
    EXPECT_EQ(earlier.configuration_revision, 298);
    EXPECT_FALSE(earlier.separates_revisions());
    EXPECT_FALSE(earlier.evacuation_revision);
    EXPECT_FALSE(earlier.evacuation_digest);
    EXPECT_FALSE(earlier.server_revision);

    report.__set_newest_configuration(296);
    EXPECT_EQ(decode().configuration_revision, 296);
    report.__set_newest_evacuation(0);
    report.__set_evacuation_digest(0);
    report.__set_server_revision(0);
    auto const present = decode();
    EXPECT_EQ(present.configuration_revision, 296);
    EXPECT_EQ(present.evacuation_revision, 0);
    EXPECT_EQ(present.evacuation_digest, 0U);
    EXPECT_EQ(present.server_revision, 0);
}

} // namespace
} // namespace jasminepier::platform
