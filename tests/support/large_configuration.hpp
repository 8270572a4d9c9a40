/// Text like that of a large configuration.
#pragma once

#include <random>
#include <string>

namespace jasminepier::tests
{

/// Returns the routes of a configuration, of about 250 bytes each, with random names.
inline std::string make_large_configuration(int routes)
{
    std::mt19937 random(20261208);
    auto const make_name = [&]
    {
        std::string name;
        for (int i = 0; i < 7; ++i)
            name += static_cast<char>('a' + random() % 26);
        return name;
    };
    std::string text = "{\"version\":7,\"routes\":[";
    for (int i = 0; i < routes; ++i)
        text += (i == 0 ? "" : ",") + ("{\"name\":\"r-" + make_name()) +
                "\",\"host\":\"shop.example\",\"path_prefix\":\"/" + make_name() +
                "/\",\"route_type\":\"idempotent\",\"timeout_ms\":6000,\"target_latency_ms\":1500,"
                "\"priority\":0,\"service\":\"shop-app\",\"max_attempts\":2,\"public\":false,"
                "\"session_affinity\":false,\"stream_resume\":false,\"target_itl_ms\":180}";
    return text + "]}";
}

} // namespace jasminepier::tests
