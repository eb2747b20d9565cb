// Plain structs for HTTP requests and responses, independent of the HTTP libraries.
//
//   HttpRequest request{ .mMethod = "GET", .mTarget = "/v1/kv/services" };
//   SetHeader(request.mHeaders, "Accept", "application/json");
#pragma once

#include <cstddef>
#include <initializer_list>
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
  // Path and query as they appear in the request line.
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

struct HttpResponse
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Returns the bytes of memory that a string takes beside its object.
std::size_t
AllocatedBytes(const std::string& aText);

// Returns the bytes of memory that headers, or a request with them and its body, take beside the
// struct itself.
std::size_t
HeldBytes(const HttpHeaders& aHeaders);
std::size_t
HeldBytes(const HttpRequest& aRequest);

// Returns whether two header names are equal, ignoring case.
bool
IsSameHeaderName(std::string_view aFirst, std::string_view aSecond);

// Returns the value of the first header named `aName`, ignoring case, or an empty string if there
// is none. The result refers to `aHeaders`. Must not be used for a header whose value is a list,
// which can span several lines.
std::string_view
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName);

// Returns whether several headers are named `aName`, ignoring case.
bool
IsRepeated(const HttpHeaders& aHeaders, std::string_view aName);

// Returns the elements of a list header: those of all its lines, in order, without the empty ones
// (RFC 9110, section 5.6.1). The result refers to `aHeaders`.
std::vector<std::string_view>
ListElements(const HttpHeaders& aHeaders, std::string_view aName);

// Returns whether `aElement` is an element of a list header, ignoring case.
bool
HasListElement(const HttpHeaders& aHeaders, std::string_view aName, std::string_view aElement);

// Replaces all headers named `aName`, ignoring case, by one with the value `aValue`, which is
// appended.
void
SetHeader(HttpHeaders& aHeaders, std::string_view aName, std::string_view aValue);

// Appends the headers to a serialized message head, one per line.
void
AppendHeaders(std::string& aHead, const HttpHeaders& aHeaders);

// Returns whether a status code reports success (2xx).
bool
IsSuccess(int aStatus);

// Returns whether the header is hop-by-hop, so that a proxy must not forward it (RFC 9110, section
// 7.6.1).
bool
IsHopByHop(std::string_view aName);

// Returns the headers that a proxy forwards: without those that concern only one connection, that
// `Connection` names, or that state the length of the body. Those in `aKept` are forwarded even if
// `Connection` names them.
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders, std::initializer_list<std::string_view> aKept);

// Returns the path of a request target without its query. The result refers to `aTarget`.
std::string_view
PathOf(std::string_view aTarget);

// Returns the decoded value of the first query parameter named `aKey` of a request target, or an
// empty string if there is none or the target is malformed.
std::string
QueryValue(std::string_view aTarget, std::string_view aKey);

// Returns `aText` with the characters percent-encoded that are not allowed in a query value.
std::string
UrlEncode(std::string_view aText);

} // namespace trefoil
