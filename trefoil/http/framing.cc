#include "trefoil/http/framing.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <fmt/format.h>
#include <iterator>

namespace trefoil {
namespace {

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

bool
IsLength(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 18;
  return !aText.empty() && aText.size() <= kMaxDigits &&
         std::ranges::all_of(
           aText, [](unsigned char aCharacter) { return std::isdigit(aCharacter) != 0; });
}

bool
HasHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  return std::ranges::any_of(aHeaders, [aName](const HttpHeader& aHeader) {
    return IsSameHeaderName(aHeader.mName, aName);
  });
}

// Returns whether a request states its length even if it has no body (RFC 9110, section 8.6).
bool
AnticipatesBody(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 3> kMethods{ "POST", "PUT", "PATCH" };
  return std::ranges::find(kMethods, aMethod) != kMethods.end();
}

} // namespace

std::string_view
FramingError(const HttpHeaders& aHeaders)
{
  const bool hasLength = HasHeader(aHeaders, kContentLength);
  if (hasLength &&
      (IsRepeated(aHeaders, kContentLength) || !IsLength(HeaderValue(aHeaders, kContentLength)))) {
    return "Content-Length must be one whole number\n";
  }
  const auto codings = ListElements(aHeaders, kTransferEncoding);
  if (codings.size() > 1 || (codings.size() == 1 && !IsChunked(aHeaders))) {
    return "the only Transfer-Encoding is chunked\n";
  }
  if (hasLength && HasHeader(aHeaders, kTransferEncoding)) {
    return "send Content-Length or Transfer-Encoding, not both\n";
  }
  return {};
}

bool
IsChunked(const HttpHeaders& aHeaders)
{
  return HasListElement(aHeaders, kTransferEncoding, "chunked");
}

std::string
RequestBytes(const HttpRequest& aRequest)
{
  return RequestBytes(aRequest, aRequest.mBody);
}

std::string
RequestBytes(const HttpRequest& aRequest, std::string_view aBody)
{
  std::string bytes = RequestHead(aRequest, aBody.size());
  // Without this the string could take up to twice its length.
  bytes.reserve(bytes.size() + aBody.size());
  bytes += aBody;
  return bytes;
}

std::string
RequestHead(const HttpRequest& aRequest, std::size_t aBodyBytes)
{
  std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", aRequest.mMethod, aRequest.mTarget);
  HttpHeaders headers = aRequest.mHeaders;
  std::erase_if(headers, [](const HttpHeader& aHeader) {
    return IsSameHeaderName(aHeader.mName, kContentLength) ||
           IsSameHeaderName(aHeader.mName, kTransferEncoding);
  });
  AppendHeaders(bytes, headers);
  if (aBodyBytes > 0 || AnticipatesBody(aRequest.mMethod)) {
    fmt::format_to(std::back_inserter(bytes), "{}: {}\r\n", kContentLength, aBodyBytes);
  }
  bytes += "\r\n";
  return bytes;
}

} // namespace trefoil
