#include "trefoil/http/check_request_head.h"

#include "trefoil/http/status_code.h"

#include <Poco/String.h>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace trefoil {
namespace {

constexpr int kUriTooLong = 414;
constexpr int kHeaderFieldsTooLarge = 431;

// Returns the value of a Content-Length header, or std::nullopt if it is malformed.
std::optional<std::uint64_t>
ParseContentLength(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 18;
  const bool allDigits = std::ranges::all_of(
    aText, [](unsigned char aCharacter) { return std::isdigit(aCharacter) != 0; });
  if (aText.empty() || aText.size() > kMaxDigits || !allDigits) {
    return std::nullopt;
  }
  std::uint64_t length = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), length);
  return length;
}

// Returns the reason why the headers do not determine unambiguously where the body ends (RFC 9112,
// section 6.3), or an empty string if they do.
std::string_view
FramingError(const HttpRequest& aHead)
{
  std::optional<std::string_view> length;
  std::string_view transferEncoding;
  for (const HttpHeader& header : aHead.mHeaders) {
    if (Poco::icompare(header.mName, "Content-Length") == 0) {
      if (!ParseContentLength(header.mValue).has_value() || length.has_value()) {
        return "Content-Length must be one whole number\n";
      }
      length = header.mValue;
    }
    if (Poco::icompare(header.mName, "Transfer-Encoding") == 0) {
      transferEncoding = header.mValue;
    }
  }
  if (!transferEncoding.empty() &&
      Poco::icompare(std::string{ transferEncoding }, "chunked") != 0) {
    return "the only Transfer-Encoding is chunked\n";
  }
  if (!transferEncoding.empty() && length.has_value()) {
    return "send Content-Length or Transfer-Encoding, not both\n";
  }
  return {};
}

bool
IsValidMethod(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, [](unsigned char aCharacter) {
    return std::isupper(aCharacter) != 0 || aCharacter == '-';
  });
}

} // namespace

std::optional<HttpResponse>
CheckRequestHead(const HttpRequest& aHead)
{
  if (!IsValidMethod(aHead.mMethod)) {
    return HttpResponse{ .mStatus = kBadRequest, .mBody = "the request's method is malformed\n" };
  }
  if (aHead.mTarget.size() > kMaxTargetBytes) {
    return HttpResponse{ .mStatus = kUriTooLong, .mBody = "the request's target is too long\n" };
  }
  if (!aHead.mTarget.starts_with('/')) {
    return HttpResponse{ .mStatus = kBadRequest, .mBody = "the request's target must be a path\n" };
  }
  std::size_t bytes = 0;
  for (const HttpHeader& header : aHead.mHeaders) {
    bytes += header.mName.size() + header.mValue.size();
  }
  if (bytes > kMaxHeaderBytes) {
    return HttpResponse{ .mStatus = kHeaderFieldsTooLarge,
                         .mBody = "the request's headers are too long\n" };
  }
  const std::string_view framingError = FramingError(aHead);
  if (!framingError.empty()) {
    return HttpResponse{ .mStatus = kBadRequest, .mBody = std::string{ framingError } };
  }
  return std::nullopt;
}

} // namespace trefoil
