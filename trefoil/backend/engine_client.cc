#include "trefoil/backend/engine_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <sstream>

namespace trefoil {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kStreamEndMarker = "[DONE]";

std::string
TokenText(const Poco::JSON::Object& aChoice)
{
  if (aChoice.has("delta")) {
    return aChoice.getObject("delta")->optValue<std::string>("content", "");
  }
  return aChoice.optValue<std::string>("text", "");
}

std::string
FinishReason(const Poco::JSON::Object& aChoice)
{
  if (aChoice.isNull("finish_reason")) {
    return {};
  }
  return aChoice.optValue<std::string>("finish_reason", "");
}

absl::StatusOr<ExportedCache>
ParseExportedCache(const std::string& aBody)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aBody).extract<Poco::JSON::Object::Ptr>();
    return ExportedCache{ .mCache = object->getValue<std::string>("cache"),
                          .mTokens = object->getValue<std::int64_t>("tokens") };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

} // namespace

absl::StatusOr<ExportedCache>
ExportCache(const EngineAddress& aServer, const AttemptId& aAttempt, Instant aDeadline)
{
  const HttpResult result =
    Call({ .mServer = aServer.mServer,
           .mConnector = aServer.mConnector,
           .mRequest = { .mMethod = "POST",
                         .mTarget = "/v1/kv/export?attempt=" + UrlEncode(aAttempt.Value()) },
           .mDeadline = aDeadline });
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return failure->mStatus;
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.mStatus != kHttpOk) {
    return absl::UnavailableError(fmt::format("the engine answered {}", response.mStatus));
  }
  return ParseExportedCache(response.mBody);
}

absl::StatusOr<std::string>
RenderEngineBody(const EngineRequest& aCall)
{
  try {
    auto body = Poco::JSON::Parser{}.parse(aCall.mBody).extract<Poco::JSON::Object::Ptr>();
    Poco::JSON::Object::Ptr resumePoint = new Poco::JSON::Object;
    resumePoint->set("attempt", aCall.mAttempt.Value());
    resumePoint->set("first_index", aCall.mFirstTokenIndex);
    resumePoint->set("generated", aCall.mGenerated);
    if (!aCall.mCache.empty()) {
      resumePoint->set("cache", aCall.mCache);
    }
    body->set("stream", true);
    body->set("resume", resumePoint);
    std::ostringstream text;
    body->stringify(text);
    return text.str();
  } catch (const Poco::Exception& error) {
    return absl::InvalidArgumentError(error.displayText());
  }
}

absl::StatusOr<EngineEvent>
ParseEngineEvent(std::string_view aData)
{
  if (aData == kStreamEndMarker) {
    return EngineEvent{ .mKind = EngineEventKind::kEnd };
  }
  try {
    const auto object =
      Poco::JSON::Parser{}.parse(std::string{ aData }).extract<Poco::JSON::Object::Ptr>();
    if (object->has("leaving_ms")) {
      return EngineEvent{ .mKind = EngineEventKind::kLeaving,
                          .mNoticeMilliseconds = object->getValue<std::int64_t>("leaving_ms") };
    }
    if (!object->isArray("choices") || !object->getArray("choices")->isObject(0)) {
      return absl::DataLossError("an event has no choice");
    }
    const auto choice = object->getArray("choices")->getObject(0);
    return EngineEvent{ .mKind = EngineEventKind::kToken,
                        .mAttempt = AttemptId{ object->getValue<std::string>("id") },
                        .mIndex = object->getValue<std::int64_t>("token_index"),
                        .mText = TokenText(*choice),
                        .mFinishReason = FinishReason(*choice) };
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

EngineStream::OpenResult
EngineStream::Open(const EngineRequest& aCall)
{
  const auto body = RenderEngineBody(aCall);
  if (!body.ok()) {
    return Failure{ .mVerdict = Verdict::kNotRun, .mStatus = body.status() };
  }
  auto opened = HttpStream::Open(
    { .mServer = aCall.mServer,
      .mConnector = aCall.mConnector,
      .mRequest = { .mMethod = "POST",
                    .mTarget = std::string{ NameOf(kCompletionPaths, aCall.mApi) },
                    .mHeaders = { { .mName = "Content-Type", .mValue = "application/json" } },
                    .mBody = *body },
      .mDeadline = aCall.mDeadline,
      .mEarlierDeadlines = aCall.mEarlierDeadlines });
  if (auto* failure = std::get_if<Failure>(&opened)) {
    return std::move(*failure);
  }
  auto& stream = std::get<HttpStream>(opened);
  if (stream.Status() >= kHttpBadRequest && stream.Status() < kHttpServerError) {
    return Failure{ .mVerdict = Verdict::kNotRun,
                    .mStatus = absl::InvalidArgumentError(
                      fmt::format("the engine refused the request with {}", stream.Status())) };
  }
  if (stream.Status() != kHttpOk) {
    const bool refusedBeforeRun = stream.Status() == kHttpUnavailable;
    return Failure{ .mVerdict = refusedBeforeRun ? Verdict::kNotRun : Verdict::kRan,
                    .mStatus = absl::UnavailableError(
                      fmt::format("the engine answered {}", stream.Status())) };
  }
  return EngineStream{ std::move(stream) };
}

absl::StatusOr<EngineEvent>
EngineStream::Next(Instant aDeadline)
{
  while (true) {
    const auto line = mStream.ReadLine(aDeadline);
    if (absl::IsOutOfRange(line.status())) {
      return absl::UnavailableError("the engine's stream ended without its end mark");
    }
    if (!line.ok()) {
      return line.status();
    }
    const std::string_view text = *line;
    if (text.starts_with(kDataPrefix)) {
      return ParseEngineEvent(text.substr(kDataPrefix.size()));
    }
  }
}

} // namespace trefoil
