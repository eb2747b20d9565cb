#include "standin/engine_request.h"

#include "standin/token_text.h"
#include "trefoil/base/digest.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <sstream>

namespace trefoil::standin {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::int64_t kDefaultMaxTokens = 16;

std::string
PromptOf(const Object& aBody, bool aChat)
{
  if (!aChat) {
    return aBody.getValue<std::string>("prompt");
  }
  std::string prompt;
  for (const auto& item : *aBody.getArray("messages")) {
    const auto& message = item.extract<Object::Ptr>();
    prompt += message->getValue<std::string>("role") + ": ";
    prompt += message->getValue<std::string>("content") + "\n";
  }
  return prompt;
}

Object::Ptr
ChoiceOf(const EngineRequest& aRequest, std::int64_t aIndex)
{
  const std::string text = TokenText(aRequest.mPrompt, aIndex);
  Object::Ptr choice = new Object;
  choice->set("index", 0);
  if (aRequest.mChat) {
    Object::Ptr delta = new Object;
    delta->set("content", text);
    choice->set("delta", delta);
  } else {
    choice->set("text", text);
  }
  const bool last = aIndex + 1 == aRequest.mMaxTokens;
  choice->set("finish_reason",
              last ? Poco::Dynamic::Var{ std::string{ "length" } } : Poco::Dynamic::Var{});
  return choice;
}

std::string
RenderEvent(const Object& aEvent)
{
  std::ostringstream text;
  aEvent.stringify(text);
  return fmt::format("data: {}\n\n", text.str());
}

} // namespace

EngineRequest
ParseEngineRequest(const std::string& aBody, bool aChat)
{
  const auto body = Poco::JSON::Parser{}.parse(aBody).extract<Object::Ptr>();
  EngineRequest request{ .mChat = aChat,
                         .mPrompt = PromptOf(*body, aChat),
                         .mMaxTokens =
                           body->optValue<std::int64_t>("max_tokens", kDefaultMaxTokens) };
  // KV caches are kept by attempt, so a request that names none needs a unique one.
  request.mAttempt = RandomHex();
  if (body->isObject("resume")) {
    const auto resume = body->getObject("resume");
    request.mAttempt = resume->getValue<std::string>("attempt");
    request.mFirstIndex = resume->getValue<std::int64_t>("first_index");
    const auto cache = resume->optValue<std::string>("cache", "");
    if (!cache.empty()) {
      request.mCachedTokens = std::stoll(cache.substr(cache.find(':') + 1));
    }
  }
  return request;
}

std::int64_t
PromptTokens(const EngineRequest& aRequest)
{
  std::istringstream words{ aRequest.mPrompt };
  std::string word;
  std::int64_t count = 0;
  while (words >> word) {
    ++count;
  }
  return count;
}

std::string
RenderToken(const EngineRequest& aRequest, std::int64_t aIndex)
{
  Array::Ptr choices = new Array;
  choices->add(ChoiceOf(aRequest, aIndex));
  Object event;
  event.set("id", aRequest.mAttempt);
  event.set("token_index", aIndex);
  event.set("choices", choices);
  return RenderEvent(event);
}

std::string
RenderLeaving(const EngineRequest& aRequest, std::int64_t aNoticeMilliseconds)
{
  Object event;
  event.set("id", aRequest.mAttempt);
  event.set("leaving_ms", aNoticeMilliseconds);
  return RenderEvent(event);
}

std::string
RenderCache(std::int64_t aTokens)
{
  return fmt::format("cache:{}", aTokens);
}

} // namespace trefoil::standin
