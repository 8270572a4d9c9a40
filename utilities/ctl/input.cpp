#include "utilities/ctl/input.hpp"

#include "utilities/ctl/command_line.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <unistd.h>

namespace jasminepier::ctl
{

base::result<std::string> read_input(std::string const& path)
{
    std::ifstream file;
    if (path != "-")
    {
        file.open(path, std::ios::binary);
        if (!file)
            return base::fail(base::error_kind::not_found, "cannot read file '" + path + "'");
    }
    std::istream& in = path == "-" ? std::cin : file;
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (text.size() > maximum_object_bytes)
        return base::fail(base::error_kind::payload_too_large,
                          "the object exceeds the platform's maximum size (1 MB)");
    return text;
}

base::result<std::optional<store::object>>
find_object(store::http_object_store& store, std::string const& kind, std::string const& name)
{
    return boost::leaf::try_handle_some(
        [&]() -> base::result<std::optional<store::object>>
        {
            BOOST_LEAF_AUTO(object, store.get(kind, name));
            return std::optional(object);
        },
        [](base::error const& failure) -> base::result<std::optional<store::object>>
        {
            if (failure.kind == base::error_kind::not_found)
                return std::optional<store::object>{};
            return boost::leaf::new_error(failure);
        });
}

base::result<void> check_name(std::string const& name)
{
    bool valid = !name.empty() && name.size() <= 63 && name.front() != '.';
    for (char c : name)
        valid = valid && ((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
                          c == '_' || c == '-');
    if (!valid)
        return base::fail(base::error_kind::bad_request,
                          "'" + name +
                              "' is not a valid name; use 1 to 63 lower-case letters, digits, "
                              "dots, underscores and hyphens");
    return {};
}

confirmation ask_for_confirmation(std::string const& question)
{
    if (isatty(STDIN_FILENO) == 0)
        return confirmation::declined;
    std::cerr << question << " Type yes to continue: ";
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "yes" ? confirmation::confirmed : confirmation::declined;
}

int report_failure(base::error const& failure)
{
    std::cerr << "jasminepierctl: " << failure.message << '\n';
    switch (failure.kind)
    {
    case base::error_kind::bad_request:
    case base::error_kind::payload_too_large:
        return exit_usage;
    case base::error_kind::conflict:
        return exit_conflict;
    default:
        return exit_failed;
    }
}

} // namespace jasminepier::ctl
