/// Hashes, message authentication codes and random identifiers.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jasminepier::base
{

/// Mixes the bits of `value` (the finalizer of SplitMix64).
constexpr std::uint64_t mix64(std::uint64_t value) noexcept
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// Returns the 64-bit FNV-1a hash of `text` with its bits mixed. The value is the same on every
/// machine and in every build, so that all nodes rank candidates alike.
constexpr std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) noexcept
{
    std::uint64_t value = 0xcbf29ce484222325ULL ^ mix64(seed);
    for (char c : text)
    {
        value ^= static_cast<unsigned char>(c);
        value *= 0x100000001b3ULL;
    }
    return mix64(value);
}

/// Returns the rendezvous-hashing weight of `candidate` for `key`; the candidate with the highest
/// weight owns the key.
constexpr std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) noexcept
{
    return mix64(stable_hash(key) ^ (stable_hash(candidate, 1) * 3));
}

/// Returns the SHA-256 digest of `parts` as lower-case hex. The length of each part is hashed
/// before it, so that the same text split in another way gives another digest.
std::string sha256_hex(std::initializer_list<std::string_view> parts);

/// Returns the HMAC-SHA-256 of `message` under `key` as lower-case hex.
std::string hmac_sha256_hex(std::string_view key, std::string_view message);

/// Compares two strings in time that depends only on their lengths.
bool constant_time_equal(std::string_view left, std::string_view right) noexcept;

/// Returns 128 random bits as lower-case hex, from the system's entropy source.
std::string random_id();

} // namespace jasminepier::base
