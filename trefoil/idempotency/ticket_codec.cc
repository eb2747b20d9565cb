#include "trefoil/idempotency/ticket_codec.h"

#include "absl/strings/escaping.h"
#include "trefoil/base/digest.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cstddef>
#include <exception>
#include <sstream>

namespace trefoil {
namespace {

constexpr std::string_view kTicketPrefix = "ticket1.";
constexpr std::size_t kMaxTicketBytes = 1024;

// SHA-256 with the block and digest sizes that Poco::HMACEngine requires of its engine.
class Sha256Engine : public Poco::SHA2Engine
{
public:
  enum : unsigned
  {
    // NOLINTNEXTLINE(readability-identifier-naming): Poco::HMACEngine requires this name.
    BLOCK_SIZE = 64,
    // NOLINTNEXTLINE(readability-identifier-naming): Poco::HMACEngine requires this name.
    DIGEST_SIZE = 32,
  };
};

// Returns the authentication code of a payload in hexadecimal digits.
std::string
MacOf(std::string_view aPayload, const std::string& aSecret)
{
  Poco::HMACEngine<Sha256Engine> engine{ aSecret };
  engine.update(aPayload.data(), static_cast<unsigned>(aPayload.size()));
  return Poco::DigestEngine::digestToHex(engine.digest());
}

// Serializes a ticket, with its wall clock times as Unix milliseconds.
struct SerializedTicket
{
  Ticket mTicket;

  template<typename Archive>
  void save(Archive& aArchive) const
  {
    ArchiveFields(aArchive, mTicket);
    aArchive(UnixMilliseconds(mTicket.mIssuedAt), UnixMilliseconds(mTicket.mExpiresAt));
  }
  template<typename Archive>
  void load(Archive& aArchive)
  {
    std::int64_t issuedAt = 0;
    std::int64_t expiresAt = 0;
    ArchiveFields(aArchive, mTicket);
    aArchive(issuedAt, expiresAt);
    mTicket.mIssuedAt = FromUnixMilliseconds(issuedAt);
    mTicket.mExpiresAt = FromUnixMilliseconds(expiresAt);
  }

private:
  template<typename Archive, typename AnyTicket>
  static void ArchiveFields(Archive& aArchive, AnyTicket& aTicket)
  {
    aArchive(aTicket.mZone,
             aTicket.mHost,
             aTicket.mEndpoint,
             aTicket.mIncarnation,
             aTicket.mSerial,
             aTicket.mAccount,
             aTicket.mService);
  }
};

} // namespace

bool
LooksLikeTicket(std::string_view aKey)
{
  return aKey.starts_with(kTicketPrefix);
}

std::string
EncodeTicket(const Ticket& aTicket, const std::string& aSecret)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive{ out };
  archive(SerializedTicket{ aTicket });
  const std::string payload = std::string{ kTicketPrefix } + absl::WebSafeBase64Escape(out.str());
  return payload + "." + MacOf(payload, aSecret);
}

absl::StatusOr<Ticket>
DecodeTicket(std::string_view aText, const std::string& aSecret)
{
  const std::size_t end = aText.rfind('.');
  if (!LooksLikeTicket(aText) || aText.size() > kMaxTicketBytes || end < kTicketPrefix.size()) {
    return absl::PermissionDeniedError("the key is no ticket");
  }
  const std::string_view payload = aText.substr(0, end);
  if (!ConstantTimeEqual(aText.substr(end + 1), MacOf(payload, aSecret))) {
    return absl::PermissionDeniedError("the ticket was not minted by this system");
  }
  const std::string_view encoded = payload.substr(kTicketPrefix.size());
  std::string bytes;
  if (!absl::WebSafeBase64Unescape({ encoded.data(), encoded.size() }, &bytes)) {
    return absl::PermissionDeniedError("the ticket cannot be read");
  }
  try {
    std::istringstream in{ bytes };
    cereal::PortableBinaryInputArchive archive{ in };
    SerializedTicket serialized;
    archive(serialized);
    return serialized.mTicket;
  } catch (const std::exception& error) {
    return absl::PermissionDeniedError(error.what());
  }
}

} // namespace trefoil
