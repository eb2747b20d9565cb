#include "trefoil/forward/request_memory.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

// Guards against: only bodies are counted, so that requests with large heads exhaust the memory of
// the machine.
SCENARIO("the memory of a request includes all that follows from its head")
{
  const HttpRequest small{ .mMethod = "GET", .mTarget = "/" };
  const std::size_t least = MemoryOfRequest(small, {});
  GIVEN("long headers and a long target")
  {
    HttpRequest request{ .mTarget = "/" + std::string(4'000, 'x') };
    for (int i = 0; i < 10; ++i) {
      request.mHeaders.push_back({ .mName = "X-Part", .mValue = std::string(1'000, 'x') });
    }
    THEN("their text counts, and so does the entry of each header")
    {
      CHECK(MemoryOfRequest(request, {}) >= least + 14'000 + 10 * sizeof(HttpHeader));
    }
  }
  GIVEN("a prompt of many parts, whose names are short")
  {
    RequestMetadata metadata;
    for (int i = 0; i < 1'000; ++i) {
      metadata.mPrompt.push_back({ .mId = "p", .mTokens = 1 });
    }
    THEN("each part counts with its key")
    {
      CHECK(MemoryOfRequest(small, metadata) >=
            least + 1'000 * (sizeof(PromptPart) + sizeof(std::uint64_t)));
    }
  }
  GIVEN("a body")
  {
    HttpRequest request = small;
    request.mBody = std::string(100'000, 'x');
    THEN("it counts once; its copy is counted while it is sent")
    {
      CHECK(MemoryOfRequest(request, {}) >= least + 100'000);
      CHECK(MemoryOfRequest(request, {}) < least + 200'000);
    }
  }
}

} // namespace
} // namespace trefoil
