#include "standin/host_links.h"

#include "absl/strings/str_replace.h"

#include <sstream>

namespace trefoil::standin {

void
SetHostLinks(HostLinks& aLinks, const HttpRequest& aRequest)
{
  std::map<std::string, std::string>& links = aLinks[QueryValue(aRequest.mTarget, "Reached")];
  links.clear();
  std::istringstream lines{ aRequest.mBody };
  std::string from;
  std::string to;
  while (lines >> from >> to) {
    links[from] = to;
  }
}

std::string
ForCaller(const HostLinks& aLinks, const HttpRequest& aCall, const std::string& aText)
{
  const auto links = aLinks.find(HeaderValue(aCall.mHeaders, "Host"));
  return links == aLinks.end() ? aText : absl::StrReplaceAll(aText, links->second);
}

} // namespace trefoil::standin
