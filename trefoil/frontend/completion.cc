#include "trefoil/frontend/completion.h"

#include "trefoil/frontend/verdict_response.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <sstream>

namespace trefoil {
namespace {

using Poco::JSON::Object;

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kMaxCompletionTokens = 1'000'000;
// The maximum nesting depth of a JSON body. Deeper JSON is rejected.
constexpr std::size_t kMaxDepth = 64;

std::string
Stringify(const Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

std::string
PromptOf(const Object& aBody, CompletionApi aForm)
{
  if (aForm == CompletionApi::kText) {
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

absl::Status
CheckMessages(const Object& aBody)
{
  if (!aBody.isArray("messages") || aBody.getArray("messages")->empty()) {
    return absl::InvalidArgumentError("'messages' must be an array with at least one message");
  }
  for (const auto& item : *aBody.getArray("messages")) {
    if (item.type() != typeid(Object::Ptr)) {
      return absl::InvalidArgumentError("each message must be an object");
    }
    const auto& message = item.extract<Object::Ptr>();
    for (const char* key : { "role", "content" }) {
      if (!message->has(key) || !message->get(key).isString()) {
        return absl::InvalidArgumentError(fmt::format("'{}' of a message must be a string", key));
      }
    }
  }
  return absl::OkStatus();
}

absl::Status
CheckPrompt(const Object& aBody, CompletionApi aForm)
{
  if (aForm == CompletionApi::kChat) {
    return CheckMessages(aBody);
  }
  if (!aBody.has("prompt") || !aBody.get("prompt").isString()) {
    return absl::InvalidArgumentError("'prompt' must be a string");
  }
  return absl::OkStatus();
}

// Checks the members that control streaming and usage.
absl::Status
CheckOptions(const Object& aBody)
{
  if (aBody.has("stream") && !aBody.get("stream").isBoolean()) {
    return absl::InvalidArgumentError("'stream' must be true or false");
  }
  if (aBody.has("stream_options") && !aBody.isNull("stream_options")) {
    const auto options = aBody.getObject("stream_options");
    if (options.isNull() ||
        (options->has("include_usage") && !options->get("include_usage").isBoolean())) {
      return absl::InvalidArgumentError(
        "'stream_options' must be an object whose 'include_usage' is true or false");
    }
  }
  return absl::OkStatus();
}

// Returns the maximum number of tokens to generate, or InvalidArgument if the member is invalid.
absl::StatusOr<std::int64_t>
MaxTokensOf(const Object& aBody)
{
  for (const char* key : { "max_completion_tokens", "max_tokens" }) {
    if (!aBody.has(key) || aBody.isNull(key)) {
      continue;
    }
    const auto maxTokens = aBody.get(key);
    if (!maxTokens.isInteger() || maxTokens.convert<std::int64_t>() < 1 ||
        maxTokens.convert<std::int64_t>() > kMaxCompletionTokens) {
      return absl::InvalidArgumentError(
        fmt::format("'{}' must be a whole number from 1 to {}", key, kMaxCompletionTokens));
    }
    return maxTokens.convert<std::int64_t>();
  }
  return kDefaultMaxTokens;
}

absl::Status
CheckMembers(const Object& aBody, CompletionApi aForm)
{
  if (!aBody.has("model") || !aBody.get("model").isString()) {
    return absl::InvalidArgumentError("'model' must be a string that names a service");
  }
  const absl::Status prompt = CheckPrompt(aBody, aForm);
  return prompt.ok() ? CheckOptions(aBody) : prompt;
}

bool
IncludesUsage(const Object& aBody)
{
  return aBody.isObject("stream_options") &&
         aBody.getObject("stream_options")->optValue<bool>("include_usage", false);
}

Object::Ptr
MakeChoice(const CompletionRequest& aRequest, const TokenEvent& aToken)
{
  Object::Ptr choice = new Object;
  choice->set("index", 0);
  if (aRequest.mApi == CompletionApi::kChat) {
    Object::Ptr delta = new Object;
    if (aToken.mIndex == 0) {
      delta->set("role", "assistant");
    }
    delta->set("content", std::string{ aToken.mText });
    choice->set("delta", delta);
  } else {
    choice->set("text", std::string{ aToken.mText });
  }
  if (aToken.mFinishReason.empty()) {
    choice->set("finish_reason", Poco::Dynamic::Var{});
  } else {
    choice->set("finish_reason", std::string{ aToken.mFinishReason });
  }
  return choice;
}

Object
CompletionObject(const CompletionRequest& aRequest,
                 const RequestId& aId,
                 std::string_view aObjectType,
                 const Object::Ptr& aChoice)
{
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(aChoice);
  Object object;
  object.set("id", aId.Value());
  object.set("object", std::string{ aObjectType });
  object.set("model", aRequest.mService.Value());
  object.set("choices", choices);
  return object;
}

std::string_view
ChunkObjectType(const CompletionRequest& aRequest)
{
  return aRequest.mApi == CompletionApi::kChat ? "chat.completion.chunk" : "text_completion";
}

Object::Ptr
UsageObject(const Usage& aUsage)
{
  Object::Ptr usage = new Object;
  usage->set("prompt_tokens", aUsage.mPromptTokens);
  usage->set("completion_tokens", aUsage.mCompletionTokens);
  usage->set("total_tokens", aUsage.mPromptTokens + aUsage.mCompletionTokens);
  return usage;
}

} // namespace

absl::StatusOr<CompletionRequest>
ParseCompletion(CompletionApi aForm, std::string_view aBody)
{
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    const auto parsed = parser.parse(std::string{ aBody });
    if (parsed.type() != typeid(Object::Ptr)) {
      return absl::InvalidArgumentError("the body must be a JSON object");
    }
    const auto& body = parsed.extract<Object::Ptr>();
    const absl::Status status = CheckMembers(*body, aForm);
    if (!status.ok()) {
      return status;
    }
    const auto maxTokens = MaxTokensOf(*body);
    if (!maxTokens.ok()) {
      return maxTokens.status();
    }
    return CompletionRequest{ .mApi = aForm,
                              .mService = ServiceId{ body->getValue<std::string>("model") },
                              .mPrompt = PromptOf(*body, aForm),
                              .mStream = body->optValue<bool>("stream", false),
                              .mIncludeUsage = IncludesUsage(*body),
                              .mMaxTokens = *maxTokens,
                              .mBody = std::string{ aBody } };
  } catch (const std::exception& error) {
    const auto* pocoError = dynamic_cast<const Poco::Exception*>(&error);
    return absl::InvalidArgumentError(
      fmt::format("the body is no such request: {}",
                  pocoError != nullptr ? pocoError->displayText() : std::string{ error.what() }));
  }
}

std::string
RenderTokenEvent(const CompletionRequest& aRequest, const RequestId& aId, const TokenEvent& aToken)
{
  const auto object =
    CompletionObject(aRequest, aId, ChunkObjectType(aRequest), MakeChoice(aRequest, aToken));
  return fmt::format("id: {}\ndata: {}\n\n", aToken.mIndex, Stringify(object));
}

std::string
RenderUsageEvent(const CompletionRequest& aRequest, const RequestId& aId, const Usage& aUsage)
{
  Object object;
  object.set("id", aId.Value());
  object.set("object", std::string{ ChunkObjectType(aRequest) });
  object.set("model", aRequest.mService.Value());
  object.set("choices", Poco::JSON::Array::Ptr{ new Poco::JSON::Array });
  object.set("usage", UsageObject(aUsage));
  return fmt::format("data: {}\n\n", Stringify(object));
}

std::string
RenderMovedEvent(const RequestId& aId, std::string_view aPath, std::int64_t aLastEventId)
{
  Object object;
  object.set("request_id", aId.Value());
  object.set("resume", std::string{ aPath });
  object.set("last_event_id", aLastEventId);
  return fmt::format("event: moved\ndata: {}\n\n", Stringify(object));
}

std::string
RenderEndEvent()
{
  return "data: [DONE]\n\n";
}

std::string
RenderErrorEvent(const RequestId& aId, const Failure& aFailure)
{
  return fmt::format("event: error\ndata: {}\n\n", RenderFailureBody(aId, aFailure));
}

HttpResponse
RenderCompletionResponse(const CompletionRequest& aRequest,
                         const RequestId& aId,
                         std::string_view aText,
                         std::string_view aFinishReason,
                         const Usage& aUsage)
{
  const bool chat = aRequest.mApi == CompletionApi::kChat;
  Object::Ptr choice = new Object;
  choice->set("index", 0);
  choice->set("finish_reason", std::string{ aFinishReason });
  if (chat) {
    Object::Ptr message = new Object;
    message->set("role", "assistant");
    message->set("content", std::string{ aText });
    choice->set("message", message);
  } else {
    choice->set("text", std::string{ aText });
  }
  Object object =
    CompletionObject(aRequest, aId, chat ? "chat.completion" : "text_completion", choice);
  object.set("usage", UsageObject(aUsage));
  HttpResponse response{ .mBody = Stringify(object) + "\n" };
  SetHeader(response.mHeaders, "Content-Type", "application/json");
  AddVerdictHeaders(response, aId, Verdict::kRan);
  return response;
}

} // namespace trefoil
