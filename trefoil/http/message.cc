#include "trefoil/http/message.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <iterator>

namespace trefoil {

std::size_t
AllocatedBytes(const std::string& aText)
{
  const std::size_t inPlace = std::string{}.capacity();
  return aText.capacity() > inPlace ? aText.capacity() + 1 : 0;
}

std::size_t
HeldBytes(const HttpHeaders& aHeaders)
{
  std::size_t bytes = aHeaders.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& header : aHeaders) {
    bytes += AllocatedBytes(header.mName) + AllocatedBytes(header.mValue);
  }
  return bytes;
}

std::size_t
HeldBytes(const HttpRequest& aRequest)
{
  return AllocatedBytes(aRequest.mMethod) + AllocatedBytes(aRequest.mTarget) +
         HeldBytes(aRequest.mHeaders) + AllocatedBytes(aRequest.mBody);
}

bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](unsigned char aFirst, unsigned char aSecond) {
    return std::tolower(aFirst) == std::tolower(aSecond);
  });
}

std::string_view
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (IsSameHeaderName(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

bool
IsRepeated(const HttpHeaders& aHeaders, std::string_view aName)
{
  return std::ranges::count_if(aHeaders, [aName](const HttpHeader& aHeader) {
           return IsSameHeaderName(aHeader.mName, aName);
         }) > 1;
}

std::vector<std::string_view>
ListElements(const HttpHeaders& aHeaders, std::string_view aName)
{
  constexpr std::string_view kWhitespace = " \t";
  std::vector<std::string_view> elements;
  for (const HttpHeader& header : aHeaders) {
    if (!IsSameHeaderName(header.mName, aName)) {
      continue;
    }
    std::string_view rest = header.mValue;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      std::string_view element = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      element.remove_prefix(std::min(element.find_first_not_of(kWhitespace), element.size()));
      element = element.substr(0, element.find_last_not_of(kWhitespace) + 1);
      if (!element.empty()) {
        elements.push_back(element);
      }
    }
  }
  return elements;
}

bool
HasListElement(const HttpHeaders& aHeaders, std::string_view aName, std::string_view aElement)
{
  return std::ranges::any_of(ListElements(aHeaders, aName), [aElement](std::string_view aItem) {
    return IsSameHeaderName(aItem, aElement);
  });
}

void
SetHeader(HttpHeaders& aHeaders, std::string_view aName, std::string_view aValue)
{
  std::erase_if(aHeaders, [aName](const HttpHeader& aHeader) {
    return IsSameHeaderName(aHeader.mName, aName);
  });
  aHeaders.push_back({ .mName = std::string{ aName }, .mValue = std::string{ aValue } });
}

void
AppendHeaders(std::string& aHead, const HttpHeaders& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    fmt::format_to(std::back_inserter(aHead), "{}: {}\r\n", header.mName, header.mValue);
  }
}

bool
IsSuccess(int aStatus)
{
  constexpr int kMinSuccess = 200;
  constexpr int kMinRedirect = 300;
  return aStatus >= kMinSuccess && aStatus < kMinRedirect;
}

bool
IsHopByHop(std::string_view aName)
{
  constexpr std::string_view kNames[] = { "connection",
                                          "keep-alive",
                                          "proxy-authenticate",
                                          "proxy-authorization",
                                          "proxy-connection",
                                          "te",
                                          "trailer",
                                          "transfer-encoding",
                                          "upgrade" };
  return std::ranges::any_of(kNames, [aName](std::string_view aHopByHopName) {
    return IsSameHeaderName(aHopByHopName, aName);
  });
}

HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders, std::initializer_list<std::string_view> aKept)
{
  const auto connectionOptions = ListElements(aHeaders, "Connection");
  const auto isAmong = [](const auto& aNames, std::string_view aName) {
    return std::ranges::any_of(
      aNames, [aName](std::string_view aItem) { return IsSameHeaderName(aItem, aName); });
  };
  HttpHeaders forwarded;
  for (const HttpHeader& header : aHeaders) {
    const bool isNamed = isAmong(connectionOptions, header.mName) && !isAmong(aKept, header.mName);
    if (!isNamed && !IsHopByHop(header.mName) &&
        !IsSameHeaderName(header.mName, "Content-Length")) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
QueryValue(std::string_view aTarget, std::string_view aKey)
{
  try {
    const Poco::URI uri{ std::string{ aTarget } };
    for (const auto& [key, value] : uri.getQueryParameters()) {
      if (key == aKey) {
        return value;
      }
    }
  } catch (const Poco::Exception&) {
    return {};
  }
  return {};
}

std::string
UrlEncode(std::string_view aText)
{
  std::string encoded;
  Poco::URI::encode(std::string{ aText }, "!#$&'()*+,/:;=?@[]%", encoded);
  return encoded;
}

} // namespace trefoil
