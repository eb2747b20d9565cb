// What the forwarding path reads from and writes into requests and answers, in a form of its own.
//
//   RequestFacts facts = codec.mReadRequest(request);
//   HttpHeaders headers = codec.mServerHeaders(request.mHeaders, dispatch);
//
// An adapter knows the names of the headers.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

// A part of a prompt that several requests may share.
struct PromptPart
{
  std::string mId;
  std::int64_t mTokens = 0;
};

// What a client's request says of itself.
struct RequestFacts
{
  std::string mRequestId;
  std::string mHost;
  // How long the client waits from the arrival on.
  std::optional<Milliseconds> mPatience;
  // The credential; empty if there is none.
  std::string mKey;
  // 0 if the request does not say.
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  // In order; the last part is the request's own.
  std::vector<PromptPart> mPrompt;
  // The client has the events up to this one; empty if it has none.
  std::string mLastEventId;
};

// What the system says to the backend server along with a request.
struct DispatchFacts
{
  BackendServerId mServer;
  // Empty if the request belongs to no account.
  ClientAccountId mAccount;
  Milliseconds mTimeLeft{ 0 };
  // 0 is the most urgent; for model engines only.
  std::optional<int> mUrgency;
  // The answer goes on after this event; empty for one from the start.
  std::string mAfterEventId;
};

// What a backend server's answer says of itself.
struct AnswerFacts
{
  std::string mRequestId;
  // The server vouches for the answer as its own.
  bool mSealed = false;
  // The server did not run the request and will not.
  bool mNotRun = false;
  // Another server has the address.
  bool mOtherServer = false;
  // How long the server keeps the idle connection, if it says so.
  std::optional<Milliseconds> mKeepsIdle;
};

struct ForwardCodec
{
  RequestFacts (*mReadRequest)(const HttpRequest& aRequest) = nullptr;
  // Returns the headers for a backend server, made of those of the client.
  HttpHeaders (*mServerHeaders)(const HttpHeaders& aClient,
                                const DispatchFacts& aDispatch) = nullptr;
  AnswerFacts (*mReadAnswer)(const HttpAnswer& aAnswer) = nullptr;
  // Returns the headers for the client, made of those of the backend server.
  HttpHeaders (*mClientHeaders)(const HttpHeaders& aServer) = nullptr;
  // Returns the headers of an answer of the system itself.
  HttpHeaders (*mOwnHeaders)(const std::string& aRequestId,
                             std::optional<Milliseconds> aRetryAfter) = nullptr;
};

} // namespace trefoil
