#include "base/hash.hpp"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <array>
#include <random>

namespace jasminepier::base
{
namespace
{

/// Poco::HMACEngine needs a default-constructible engine with these two constants.
class sha256_engine : public Poco::SHA2Engine
{
public:
    enum
    {
        BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming): name required by Poco
        DIGEST_SIZE = 32 // NOLINT(readability-identifier-naming): name required by Poco
    };
    sha256_engine() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

} // namespace

std::string sha256_hex(std::initializer_list<std::string_view> parts)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    for (auto part : parts)
    {
        engine.update(std::to_string(part.size()) + ":");
        engine.update(part.data(), part.size());
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string hmac_sha256_hex(std::string_view key, std::string_view text)
{
    Poco::HMACEngine<sha256_engine> engine{std::string(key)};
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool constant_time_equal(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned>(left[i] ^ right[i]);
    return difference == 0;
}

std::string random_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    thread_local std::random_device entropy;
    std::string id;
    id.reserve(32);
    for (int word = 0; word < 4; ++word)
    {
        auto bits = entropy();
        for (int digit = 0; digit < 8; ++digit, bits >>= 4)
            id.push_back(digits[bits & 15U]);
    }
    return id;
}

} // namespace jasminepier::base
