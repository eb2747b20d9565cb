#include "trefoil/base/digest.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <fmt/format.h>
#include <random>
#include <xxhash.h>

namespace trefoil {

std::uint64_t
Digest64(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
RendezvousScore(std::string_view aMember, std::string_view aKey)
{
  return XXH3_64bits_withSeed(aMember.data(), aMember.size(), Digest64(aKey));
}

std::string
Sha256Hex(std::string_view aText)
{
  Poco::SHA2Engine engine{ Poco::SHA2Engine::SHA_256 };
  engine.update(aText.data(), static_cast<unsigned>(aText.size()));
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

std::string
RandomHex()
{
  thread_local std::random_device source;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", source(), source(), source(), source());
}

} // namespace trefoil
