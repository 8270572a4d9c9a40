#include "base/compression.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>

namespace jasminepier::base
{
namespace
{

constexpr int compression_level = 1;
constexpr std::size_t block_size = std::size_t{16} * 1024;

} // namespace

std::string compress(std::string_view text)
{
    std::ostringstream compressed;
    Poco::DeflatingOutputStream deflating(compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                          compression_level);
    deflating.write(text.data(), static_cast<std::streamsize>(text.size()));
    deflating.close();
    return std::move(compressed).str();
}

result<std::string> decompress(std::string_view bytes, std::size_t maximum_size)
{
    Poco::MemoryInputStream compressed(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    Poco::InflatingInputStream inflating(compressed, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::array<char, block_size> block{};
    // Damaged bytes set the bad bit, or throw where the stream is read without a buffer.
    try
    {
        while (inflating.good())
        {
            inflating.read(block.data(), block.size());
            auto const count = static_cast<std::size_t>(inflating.gcount());
            if (count > maximum_size - text.size())
                return fail(error_kind::bad_request, "the text exceeds its limit");
            text.append(block.data(), count);
        }
    }
    catch (Poco::Exception const& failure)
    {
        return fail(error_kind::bad_request,
                    "the compressed text is invalid: " + failure.message());
    }
    if (inflating.bad())
        return fail(error_kind::bad_request, "the compressed text is invalid");
    return text;
}

} // namespace jasminepier::base
