// The interface through which the forwarding code reads metadata from requests and answers and
// builds headers. An implementation defines the header names.
//
//   RequestMetadata metadata = codec.mReadRequest(request);
//   HttpHeaders headers = codec.mServerHeaders(request.mHeaders, dispatch);
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/dispatch/server_limit.h"
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

// Metadata of a client's request.
struct RequestMetadata
{
  std::string mRequestId;
  std::string mHost;
  // How long the client waits for the answer, counted from the arrival of the request.
  std::optional<Milliseconds> mClientTimeout;
  // The client account's credential; empty if the request has none.
  std::string mKey;
  // Token counts that the request states; 0 if it does not.
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  // The parts of the prompt in order. The last part is not shared with other requests.
  std::vector<PromptPart> mPrompt;
  // The last event that the client has received; empty if it has received none.
  std::string mLastEventId;
  // Whether a header that has one value is repeated, so that a server could choose another value
  // than this host.
  bool mIsAmbiguous = false;
};

// Metadata that is sent to the backend server with a request.
struct DispatchMetadata
{
  BackendServerId mServer;
  // Empty if the request belongs to no account.
  ClientAccountId mAccount;
  Milliseconds mTimeLeft{ 0 };
  // 0 is the most urgent. Sent to model engines only.
  std::optional<int> mUrgency;
  // The event after which the server resumes the stream; empty to start from the beginning.
  std::string mAfterEventId;
};

// Metadata of a backend server's answer.
struct AnswerMetadata
{
  std::string mRequestId;
  // Whether a header that has one value is repeated.
  bool mIsAmbiguous = false;
  // Whether the answer carries a seal, with which a server marks the answers that it produced.
  bool mSealed = false;
  // Whether the server states that it has not run the request and will not run it.
  bool mNotRun = false;
  // Whether a server other than the intended one received the request at this address.
  bool mWrongServer = false;
  // How long the server keeps the idle connection open; empty if it does not state it.
  std::optional<Milliseconds> mKeepAliveTimeout;
  StatedLimit mLimit;
  // Whether the server states that it fails if it has to reject too many requests.
  bool mIsBrittle = false;
  // Whether the server states that it leaves.
  bool mLeaving = false;
  // How long the server wants no further request of this host; empty if it does not state it.
  std::optional<Milliseconds> mPause;
  // How much longer the server warms up, if the answer is about its health; empty if it does not
  // state it.
  std::optional<Milliseconds> mRemainingWarmUp;
};

struct ForwardCodec
{
  // Returns the metadata of a client's request.
  RequestMetadata (*mReadRequest)(const HttpRequest& aRequest) = nullptr;
  // Returns the headers to send to a backend server, derived from the client's headers.
  HttpHeaders (*mServerHeaders)(const HttpHeaders& aClient,
                                const DispatchMetadata& aDispatch) = nullptr;
  // Returns the metadata of a backend server's answer.
  AnswerMetadata (*mReadAnswer)(const HttpResponse& aAnswer) = nullptr;
  // Returns the headers to send to the client, derived from the backend server's headers.
  HttpHeaders (*mClientHeaders)(const HttpHeaders& aServer) = nullptr;
  // Returns the headers of an answer that the entry host itself generates.
  HttpHeaders (*mOwnHeaders)(const std::string& aRequestId,
                             std::optional<Milliseconds> aRetryAfter) = nullptr;
};

} // namespace trefoil
