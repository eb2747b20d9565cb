#include "trefoil/frontend/completion.h"

#include "trefoil/frontend/answer.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <sstream>

namespace trefoil {
namespace {

using Poco::JSON::Object;

std::string
Stringify(const Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

std::string
PromptOf(const Object& aBody, CompletionForm aForm)
{
  if (aForm == CompletionForm::kText) {
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
CheckMembers(const Object& aBody, CompletionForm aForm)
{
  if (!aBody.has("model") || !aBody.get("model").isString()) {
    return absl::InvalidArgumentError("'model' must be a string that names a service");
  }
  if (aForm == CompletionForm::kText && !(aBody.has("prompt") && aBody.get("prompt").isString())) {
    return absl::InvalidArgumentError("'prompt' must be a string");
  }
  if (aForm == CompletionForm::kChat && !aBody.isArray("messages")) {
    return absl::InvalidArgumentError("'messages' must be an array");
  }
  if (aBody.has("stream") && !aBody.get("stream").isBoolean()) {
    return absl::InvalidArgumentError("'stream' must be true or false");
  }
  const auto most = aBody.get("max_tokens");
  if (aBody.has("max_tokens") && !(most.isInteger() && most.convert<std::int64_t>() > 0)) {
    return absl::InvalidArgumentError("'max_tokens' must be a whole number above 0");
  }
  return absl::OkStatus();
}

Object::Ptr
ChoiceOf(const CompletionRequest& aRequest, const TokenEvent& aToken)
{
  Object::Ptr choice = new Object;
  choice->set("index", 0);
  if (aRequest.mForm == CompletionForm::kChat) {
    Object::Ptr delta = new Object;
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
AnswerObject(const CompletionRequest& aRequest,
             const RequestId& aId,
             std::string_view aKind,
             const Object::Ptr& aChoice)
{
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(aChoice);
  Object object;
  object.set("id", aId.Value());
  object.set("object", std::string{ aKind });
  object.set("model", aRequest.mService.Value());
  object.set("choices", choices);
  return object;
}

} // namespace

absl::StatusOr<CompletionRequest>
ParseCompletion(CompletionForm aForm, std::string_view aBody)
{
  try {
    const auto body = Poco::JSON::Parser{}.parse(std::string{ aBody }).extract<Object::Ptr>();
    const absl::Status status = CheckMembers(*body, aForm);
    if (!status.ok()) {
      return status;
    }
    return CompletionRequest{ .mForm = aForm,
                              .mService = ServiceId{ body->getValue<std::string>("model") },
                              .mPrompt = PromptOf(*body, aForm),
                              .mStream = body->optValue<bool>("stream", false),
                              .mBody = std::string{ aBody } };
  } catch (const Poco::Exception& error) {
    return absl::InvalidArgumentError(
      fmt::format("the body is no such request: {}", error.displayText()));
  }
}

std::string
RenderTokenEvent(const CompletionRequest& aRequest, const RequestId& aId, const TokenEvent& aToken)
{
  const bool chat = aRequest.mForm == CompletionForm::kChat;
  const auto object = AnswerObject(
    aRequest, aId, chat ? "chat.completion.chunk" : "text_completion", ChoiceOf(aRequest, aToken));
  return fmt::format("id: {}\ndata: {}\n\n", aToken.mIndex, Stringify(object));
}

std::string
RenderEndEvent()
{
  return "data: [DONE]\n\n";
}

std::string
RenderErrorEvent(const RequestId& aId, const Failure& aFailure)
{
  return fmt::format("event: error\ndata: {}\n\n", FailureBody(aId, aFailure));
}

HttpAnswer
RenderWholeAnswer(const CompletionRequest& aRequest,
                  const RequestId& aId,
                  std::string_view aText,
                  std::string_view aFinishReason,
                  std::int64_t aTokens)
{
  const bool chat = aRequest.mForm == CompletionForm::kChat;
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
  Object object = AnswerObject(aRequest, aId, chat ? "chat.completion" : "text_completion", choice);
  Object::Ptr usage = new Object;
  usage->set("completion_tokens", aTokens);
  object.set("usage", usage);
  HttpAnswer answer{ .mBody = Stringify(object) + "\n" };
  SetHeader(answer.mHeaders, "Content-Type", "application/json");
  AddVerdict(answer, aId, Verdict::kRan);
  return answer;
}

} // namespace trefoil
