/// Compression of text in the zlib format.
#pragma once

#include "base/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace jasminepier::base
{

/// Compresses a text that is not empty, with little effort: a large configuration shrinks to less
/// than a fifth.
std::string compress(std::string_view text);

/// Fails with bad_request if the bytes are damaged, incomplete or expand to more than
/// `maximum_size` bytes.
result<std::string> decompress(std::string_view bytes, std::size_t maximum_size);

} // namespace jasminepier::base
