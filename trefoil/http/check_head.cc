#include "trefoil/http/check_head.h"

#include "trefoil/http/status_code.h"

#include <Poco/String.h>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace trefoil {
namespace {

constexpr int kTargetTooLong = 414;
constexpr int kHeadersTooLarge = 431;

// Returns the length that a header states, or nothing for one that is no length.
std::optional<std::uint64_t>
LengthOf(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 18;
  const bool digits = std::ranges::all_of(
    aText, [](unsigned char aCharacter) { return std::isdigit(aCharacter) != 0; });
  if (aText.empty() || aText.size() > kMaxDigits || !digits) {
    return std::nullopt;
  }
  std::uint64_t length = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), length);
  return length;
}

// Returns why the headers leave open where the body ends (RFC 9112, section 6.3); empty if they do
// not.
std::string_view
FramingFault(const HttpRequest& aHead)
{
  std::optional<std::string_view> length;
  std::string_view encoding;
  for (const HttpHeader& header : aHead.mHeaders) {
    if (Poco::icompare(header.mName, "Content-Length") == 0) {
      if (!LengthOf(header.mValue).has_value() || length.has_value()) {
        return "Content-Length must be one whole number\n";
      }
      length = header.mValue;
    }
    if (Poco::icompare(header.mName, "Transfer-Encoding") == 0) {
      encoding = header.mValue;
    }
  }
  if (!encoding.empty() && Poco::icompare(std::string{ encoding }, "chunked") != 0) {
    return "the only Transfer-Encoding is chunked\n";
  }
  if (!encoding.empty() && length.has_value()) {
    return "send Content-Length or Transfer-Encoding, not both\n";
  }
  return {};
}

bool
IsMethod(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, [](unsigned char aCharacter) {
    return std::isupper(aCharacter) != 0 || aCharacter == '-';
  });
}

} // namespace

std::optional<HttpAnswer>
CheckHead(const HttpRequest& aHead)
{
  if (!IsMethod(aHead.mMethod)) {
    return HttpAnswer{ .mStatus = kBadRequest, .mBody = "the request's method is malformed\n" };
  }
  if (aHead.mTarget.size() > kMaxTargetBytes) {
    return HttpAnswer{ .mStatus = kTargetTooLong, .mBody = "the request's target is too long\n" };
  }
  if (!aHead.mTarget.starts_with('/')) {
    return HttpAnswer{ .mStatus = kBadRequest, .mBody = "the request's target must be a path\n" };
  }
  std::size_t bytes = 0;
  for (const HttpHeader& header : aHead.mHeaders) {
    bytes += header.mName.size() + header.mValue.size();
  }
  if (bytes > kMaxHeaderBytes) {
    return HttpAnswer{ .mStatus = kHeadersTooLarge,
                       .mBody = "the request's headers are too long\n" };
  }
  const std::string_view fault = FramingFault(aHead);
  if (!fault.empty()) {
    return HttpAnswer{ .mStatus = kBadRequest, .mBody = std::string{ fault } };
  }
  return std::nullopt;
}

} // namespace trefoil
