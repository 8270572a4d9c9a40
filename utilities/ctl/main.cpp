/// The operator command line.
#include "base/settings.hpp"
#include "base/stop_signal.hpp"
#include "configuration/types.hpp"
#include "platform/http_object_store.hpp"

#include <iostream>
#include <iterator>

namespace
{

using namespace jasminepier;

enum exit_status
{
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_conflict = 3,
};

int report(platform::write_outcome const& outcome)
{
    switch (outcome.status)
    {
    case platform::write_status::applied:
        std::cout << "applied at version " << outcome.current.version << '\n';
        return exit_done;
    case platform::write_status::conflict:
        std::cerr << "conflict: version " << outcome.current.version << " is in the store\n";
        return exit_conflict;
    case platform::write_status::refused:
        std::cerr << "refused by the platform; nothing was written\n";
        return exit_failed;
    case platform::write_status::unknown:
        break;
    }
    std::cerr << "no answer from the platform; the write may have taken effect\n";
    return exit_failed;
}

int put(platform::http_object_store& store, std::string const& kind, std::string const& name)
{
    std::string const value(std::istreambuf_iterator<char>(std::cin), {});
    auto const held =
        base::handle([&]() -> base::result<platform::object> { return store.get(kind, name); },
                     [](base::error const&) { return platform::object{}; });
    if (held.version == 0)
        return report(store.create(kind, name, value));
    return report(store.update({kind, name, held.version, value, false}));
}

} // namespace

int main(int argc, char** argv)
{
    base::block_stop_signals();
    base::settings_parser parser("Operator tool of jasminepier", "jasminepierctl");
    platform::http_object_store_settings settings;
    settings.port = 9000;
    std::string kind;
    std::string name;
    std::string api_key;
    parser.add("platform-host", settings.host, "IP address of the platform's object API");
    parser.add("platform-port", settings.port, "Port of the platform's object API");
    auto* put_command =
        parser.app().add_subcommand("put", "Write an object read from standard input");
    put_command->add_option("kind", kind)->required();
    put_command->add_option("name", name)->required();
    auto* digest_command =
        parser.app().add_subcommand("key-digest", "Print the digest of an API key");
    digest_command->add_option("api-key", api_key)->required();
    parser.app().require_subcommand(1);
    if (auto status = parser.try_parse(argc, argv))
        return *status;
    if (digest_command->parsed())
    {
        std::cout << configuration::api_key_digest(api_key) << '\n';
        return exit_done;
    }
    platform::http_object_store store(settings);
    return put(store, kind, name);
}
