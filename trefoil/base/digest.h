// Hash functions: fast ones for placement, SHA-256 for secrets.
//
//   std::uint64_t score = RendezvousScore("host-1", "slot-7");
//   bool same = ConstantTimeEqual(Sha256Hex(aCredential), stored);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil {

// Returns the 64-bit XXH3 hash of `aText`, which is the same on all hosts. Not for secrets.
std::uint64_t
Digest64(std::string_view aText);

// Returns the weight of `aMember` for `aKey`. The member with the highest weight owns the key
// (rendezvous hashing: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996).
std::uint64_t
RendezvousScore(std::string_view aMember, std::string_view aKey);

// Returns the SHA-256 digest of `aText` as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);

// Returns whether two texts are equal. The running time depends only on their lengths.
bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight);

// Returns 32 lower-case random hexadecimal digits from the system's random source. Thread-safe.
std::string
RandomHex();

} // namespace trefoil
