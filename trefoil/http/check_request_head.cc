#include "trefoil/http/check_request_head.h"

#include "trefoil/http/framing.h"
#include "trefoil/http/status_code.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace trefoil {
namespace {

constexpr int kUriTooLong = 414;
constexpr int kHeaderFieldsTooLarge = 431;
// The longest registered method has 17 characters.
constexpr std::size_t kMaxMethodBytes = 32;

bool
IsValidMethod(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxMethodBytes &&
         std::ranges::all_of(aText, [](unsigned char aCharacter) {
           return std::isupper(aCharacter) != 0 || aCharacter == '-';
         });
}

// Returns whether a header can be written to another connection without changing the message there.
bool
IsValidHeader(const HttpHeader& aHeader)
{
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  const bool isToken =
    std::ranges::all_of(aHeader.mName, [kTokenSymbols](unsigned char aCharacter) {
      return std::isalnum(aCharacter) != 0 ||
             kTokenSymbols.find(static_cast<char>(aCharacter)) != std::string_view::npos;
    });
  constexpr std::string_view kForbidden{ "\r\n\0", 3 };
  return isToken && !aHeader.mName.empty() &&
         aHeader.mValue.find_first_of(kForbidden) == std::string::npos;
}

bool
HasControlCharacter(std::string_view aText)
{
  return std::ranges::any_of(
    aText, [](unsigned char aCharacter) { return std::iscntrl(aCharacter) != 0; });
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
  if (!aHead.mTarget.starts_with('/') || HasControlCharacter(aHead.mTarget)) {
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
  if (!std::ranges::all_of(aHead.mHeaders, IsValidHeader)) {
    return HttpResponse{ .mStatus = kBadRequest,
                         .mBody = "a header of the request is malformed\n" };
  }
  const std::string_view framingError = FramingError(aHead.mHeaders);
  if (!framingError.empty()) {
    return HttpResponse{ .mStatus = kBadRequest, .mBody = std::string{ framingError } };
  }
  return std::nullopt;
}

} // namespace trefoil
