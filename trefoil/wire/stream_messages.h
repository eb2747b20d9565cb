// Messages with which entry hosts read each other's streams and hand streams over.
//
//   StreamRead read{ .mRequest = request, .mFrom = 12, .mWaitMilliseconds = 500 };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// Requests the tokens of a stream from index `mFrom` on. If there are none yet, the receiver waits
// for up to `mWaitMilliseconds` before it replies.
struct StreamRead
{
  RequestId mRequest;
  std::int64_t mFrom = 0;
  std::int64_t mWaitMilliseconds = 0;
  // Whether the reply should contain the caller's JSON body.
  bool mWithBody = false;
  // Whether a host that does not have the stream should query the hosts of its zone that may have
  // it.
  bool mRelay = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mFrom, mWaitMilliseconds, mWithBody, mRelay);
  }
};

// The state and tokens of a stream on a host; the reply to StreamRead.
struct StreamReadReply
{
  RequestId mRequest;
  // Whether the host has the stream. If it does not, only mRequest is set.
  bool mFound = false;
  ServiceId mService;
  ClientAccountId mAccount;
  // The path of the completion interface that the caller used.
  std::string mPath;
  // The caller's JSON body if StreamRead::mWithBody was set.
  std::string mBody;
  // A name from kStreamStateNames.
  std::string mState;
  // The index of the first token in `mTokens`.
  std::int64_t mFrom = 0;
  std::vector<std::string> mTokens;
  std::string mFinishReason;
  // The error message if the stream failed.
  std::string mError;
  // The host that continues the stream after a hand-over.
  HostId mHandedTo;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest,
             mFound,
             mService,
             mAccount,
             mPath,
             mBody,
             mState,
             mFrom,
             mTokens,
             mFinishReason,
             mError,
             mHandedTo);
  }
};

// Requests that a host continue a stream. Idempotent.
struct StreamHandOver
{
  RequestId mRequest;
  ServiceId mService;
  ClientAccountId mAccount;
  std::string mPath;
  std::string mBody;
  std::vector<std::string> mTokens;
  // The time until the caller's deadline.
  std::int64_t mRemainingMilliseconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mService, mAccount, mPath, mBody, mTokens, mRemainingMilliseconds);
  }
};

// The reply to StreamHandOver.
struct StreamHandOverReply
{
  RequestId mRequest;
  // Whether the host continues the stream.
  bool mAccepted = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mAccepted);
  }
};

} // namespace trefoil
