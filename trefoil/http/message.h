// Plain structs for HTTP requests and answers, apart from the library that carries them.
//
//   HttpRequest request{ .mMethod = "GET", .mTarget = "/v1/kv/services" };
//   SetHeader(request.mHeaders, "Accept", "application/json");
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

using HttpHeaders = std::vector<HttpHeader>;

struct HttpRequest
{
  std::string mMethod = "GET";
  // Path and query, as on the request line.
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

struct HttpAnswer
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Returns whether two header names are the same; the case of letters does not count.
bool
IsSameHeader(std::string_view aLeft, std::string_view aRight);

// Returns the value of the first header called `aName` in any case, empty if there is none.
std::string_view
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName);

// Replaces the headers called `aName`, or adds one.
void
SetHeader(HttpHeaders& aHeaders, std::string_view aName, std::string_view aValue);

// Appends the headers as lines of a message's head.
void
AppendHeaders(std::string& aHead, const HttpHeaders& aHeaders);

// Returns whether a status says that the request was served (2xx).
bool
IsSuccess(int aStatus);

// Returns whether a proxy must not forward the header (RFC 9110, section 7.6.1).
bool
IsHopByHop(std::string_view aName);

// Returns the path of a request target, without its query.
std::string_view
PathOf(std::string_view aTarget);

// Returns the decoded value of `aKey` in the query of a target, empty if there is none.
std::string
QueryValue(std::string_view aTarget, std::string_view aKey);

// Returns `aText` with what may not stand in a query value encoded.
std::string
UrlEncode(std::string_view aText);

} // namespace trefoil
