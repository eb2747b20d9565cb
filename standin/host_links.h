// Links of hosts of their own, in the stand-ins for the platform's stores: a host reads other
// addresses of servers than the servers registered, so that a fault proxy for each pair of host and
// server can cut a single host off.
//
//   HostLinks links;
//   SetHostLinks(links, request);  // PUT /admin/links?Reached=ADDRESS, lines `FROM TO` as body
//   std::string value = ForCaller(links, request, value);
//
// A host is told by the address at which it reaches the store, the Host header of its calls. Plain
// data and functions without I/O.
#pragma once

#include "trefoil/http/message.h"

#include <map>
#include <string>
#include <string_view>

namespace trefoil::standin {

inline constexpr std::string_view kLinksPath = "/admin/links";

// By the address at which a host reaches the store: the address at which it reaches a server by the
// address that the server registered.
using HostLinks = std::map<std::string, std::map<std::string, std::string>, std::less<>>;

// Replaces the links of the host that the request names.
void
SetHostLinks(HostLinks& aLinks, const HttpRequest& aRequest);

// Returns `aText` with the addresses of the caller's links in place of those that servers
// registered.
std::string
ForCaller(const HostLinks& aLinks, const HttpRequest& aCall, const std::string& aText);

} // namespace trefoil::standin
