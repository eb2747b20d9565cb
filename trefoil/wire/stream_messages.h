// How entry hosts read each other's streams and pass them on.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// Asks for the tokens of a stream from a place on. The reply waits for news.
struct StreamRead
{
  RequestId mRequest;
  std::int64_t mFrom = 0;
  std::int64_t mWaitMilliseconds = 0;
  // Whether the reply should hold the caller's JSON body.
  bool mWithBody = false;
  // Whether a host that does not hold the stream asks the hosts of its zone that may.
  bool mRelay = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mFrom, mWaitMilliseconds, mWithBody, mRelay);
  }
};

// What a host knows of a stream.
struct StreamTokens
{
  RequestId mRequest;
  bool mFound = false;
  ServiceId mService;
  ClientAccountId mAccount;
  // The path of the completion interface that the caller used.
  std::string mPath;
  // The caller's JSON body if it was asked for.
  std::string mBody;
  // As in kStreamStateNames.
  std::string mState;
  std::int64_t mFrom = 0;
  std::vector<std::string> mTokens;
  std::string mFinishReason;
  // Why it failed.
  std::string mError;
  // The host that goes on.
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

// Asks a host to go on with a stream. May be repeated.
struct StreamHandOver
{
  RequestId mRequest;
  ServiceId mService;
  ClientAccountId mAccount;
  std::string mPath;
  std::string mBody;
  std::vector<std::string> mTokens;
  // The time left of the caller's deadline.
  std::int64_t mLeftMilliseconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mService, mAccount, mPath, mBody, mTokens, mLeftMilliseconds);
  }
};

struct StreamHandOverReply
{
  RequestId mRequest;
  // Whether the host goes on with the stream.
  bool mTaken = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mTaken);
  }
};

} // namespace trefoil
