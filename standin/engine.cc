#include "standin/engine.h"

#include "standin/token_text.h"
#include "trefoil/base/instant.h"

#include "absl/time/clock.h"
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <sstream>

namespace trefoil::standin {

using Poco::JSON::Array;
using Poco::JSON::Object;

// What a request asks the engine to generate.
struct EngineWork
{
  bool mChat = false;
  std::string mPrompt;
  std::int64_t mMostTokens = 0;
  std::string mAttempt;
  std::int64_t mFirstIndex = 0;
};

namespace {

constexpr std::int64_t kDefaultMostTokens = 16;
constexpr int kHttpBadRequest = 400;

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

EngineWork
ParseWork(const std::string& aText, bool aChat)
{
  const auto body = Poco::JSON::Parser{}.parse(aText).extract<Object::Ptr>();
  EngineWork work{ .mChat = aChat,
                   .mPrompt = PromptOf(*body, aChat),
                   .mMostTokens = body->optValue<std::int64_t>("max_tokens", kDefaultMostTokens) };
  if (body->isObject("resume")) {
    const auto resume = body->getObject("resume");
    work.mAttempt = resume->getValue<std::string>("attempt");
    work.mFirstIndex = resume->getValue<std::int64_t>("first_index");
  }
  return work;
}

std::string
TokenEvent(const EngineWork& aWork, std::int64_t aIndex)
{
  Object::Ptr choice = new Object;
  choice->set("index", 0);
  if (aWork.mChat) {
    Object::Ptr delta = new Object;
    delta->set("content", TokenText(aWork.mPrompt, aIndex));
    choice->set("delta", delta);
  } else {
    choice->set("text", TokenText(aWork.mPrompt, aIndex));
  }
  const bool last = aIndex + 1 == aWork.mMostTokens;
  choice->set("finish_reason",
              last ? Poco::Dynamic::Var{ std::string{ "length" } } : Poco::Dynamic::Var{});
  Array::Ptr choices = new Array;
  choices->add(choice);
  Object event;
  event.set("id", aWork.mAttempt);
  event.set("token_index", aIndex);
  event.set("choices", choices);
  std::ostringstream text;
  event.stringify(text);
  return fmt::format("data: {}\n\n", text.str());
}

} // namespace

Engine::Engine(EngineOptions aOptions)
  : mOptions(std::move(aOptions))
  , mIncarnation(static_cast<std::uint64_t>(UnixMilliseconds(WallNow())))
{
}

void
Engine::Serve(HttpExchange& aExchange)
{
  const std::string_view path = PathOf(aExchange.Request().mTarget);
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    ServeCompletion(aExchange, path == "/v1/chat/completions");
  } else if (path == "/history") {
    ServeHistory(aExchange);
  } else if (path == "/load") {
    ServeLoad(aExchange);
  } else if (path == "/admin/leave") {
    mLeaving = true;
    aExchange.Answer({ .mBody = "leaving\n" });
  } else {
    aExchange.Answer({ .mStatus = 404, .mBody = "not found\n" });
  }
}

void
Engine::ServeCompletion(HttpExchange& aExchange, bool aChat)
{
  EngineWork work;
  try {
    work = ParseWork(aExchange.Request().mBody, aChat);
  } catch (const Poco::Exception& error) {
    aExchange.Answer({ .mStatus = kHttpBadRequest, .mBody = error.displayText() + "\n" });
    return;
  }
  if (mLeaving.load()) {
    aExchange.Answer({ .mStatus = 503, .mBody = "leaving\n" });
    return;
  }
  ++mRunning;
  Generate(aExchange, work);
  --mRunning;
}

void
Engine::Generate(HttpExchange& aExchange, const EngineWork& aWork)
{
  const std::size_t run = Begin({ .mAttempt = aWork.mAttempt, .mFirstIndex = aWork.mFirstIndex });
  aExchange.BeginStream(
    { .mHeaders = { { .mName = "Content-Type", .mValue = "text/event-stream" } } });
  absl::SleepFor(absl::Milliseconds(mOptions.mFirstTokenMilliseconds));
  std::int64_t sent = 0;
  for (std::int64_t index = aWork.mFirstIndex; index < aWork.mMostTokens; ++index) {
    if (!aExchange.Write(TokenEvent(aWork, index))) {
      Record(run, sent, false);
      return;
    }
    ++sent;
    absl::SleepFor(absl::Milliseconds(mOptions.mTokenEveryMilliseconds));
  }
  const bool complete = aExchange.Write("data: [DONE]\n\n");
  Record(run, sent, complete);
}

void
Engine::ServeLoad(HttpExchange& aExchange)
{
  Object load;
  load.set("incarnation", mIncarnation);
  load.set("sequence", ++mLoadAnswers);
  load.set("leaving", mLeaving.load());
  load.set("running", mRunning.load());
  load.set("version", mOptions.mVersion);
  std::ostringstream text;
  load.stringify(text);
  aExchange.Answer({ .mBody = text.str() });
}

std::size_t
Engine::Begin(EngineRun aRun)
{
  const absl::MutexLock lock{ &mMutex };
  mRuns.push_back(std::move(aRun));
  return mRuns.size() - 1;
}

void
Engine::Record(std::size_t aRun, std::int64_t aSent, bool aComplete)
{
  const absl::MutexLock lock{ &mMutex };
  mRuns[aRun].mSent = aSent;
  mRuns[aRun].mComplete = aComplete;
}

void
Engine::ServeHistory(HttpExchange& aExchange)
{
  Array runs;
  {
    const absl::MutexLock lock{ &mMutex };
    for (const EngineRun& run : mRuns) {
      Object::Ptr object = new Object;
      object->set("attempt", run.mAttempt);
      object->set("first_index", run.mFirstIndex);
      object->set("sent", run.mSent);
      object->set("complete", run.mComplete);
      runs.add(object);
    }
  }
  std::ostringstream text;
  runs.stringify(text);
  aExchange.Answer({ .mBody = text.str() + "\n" });
}

} // namespace trefoil::standin
