// Processes one request of a client: checks it, sends it to backend servers and relays the answer.
//
//   auto exchange = Exchange::Begin(state, session, std::move(request), onEnd);
//   exchange->OnClientGone();
//
// A request that must not be repeated is sent to another backend server only while no server can
// have run it. An answer whose status means "not run" is subject to the same condition. All
// functions must be called on the traffic thread.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/catalogue/request_access.h"
#include "trefoil/forward/event_splitter.h"
#include "trefoil/forward/traffic_state.h"
#include "trefoil/http_server/client_session.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

// Why the entry host itself answered a request or aborted its answer.
enum class RefusalReason
{
  kNoConfiguration,
  kStaleConfiguration,
  kNoRoute,
  kUnknownApiKey,
  kMalformedHead,
  kOverQuota,
  kCrashesServers,
  kPromptCrashesServers,
  kNoServer,
  kServersFull,
  kServersLimited,
  kServerUnreachable,
  // All servers that are left are in evacuated zones.
  kZonesEvacuated,
  kBrokenAnswer,
  kDeadlineExceeded,
  kHostStops,
  kNoMemory,
  // No connection to a server is left.
  kNoConnection,
};

inline constexpr NameTable<RefusalReason, 18> kRefusalReasonNames{ {
  { RefusalReason::kNoConfiguration, "no_configuration" },
  { RefusalReason::kStaleConfiguration, "old_configuration" },
  { RefusalReason::kNoRoute, "no_route" },
  { RefusalReason::kUnknownApiKey, "unknown_key" },
  { RefusalReason::kMalformedHead, "malformed_head" },
  { RefusalReason::kOverQuota, "over_quota" },
  { RefusalReason::kCrashesServers, "crashes_servers" },
  { RefusalReason::kPromptCrashesServers, "prompt_crashes_servers" },
  { RefusalReason::kNoServer, "no_server" },
  { RefusalReason::kServersFull, "servers_full" },
  { RefusalReason::kServersLimited, "servers_limited" },
  { RefusalReason::kServerUnreachable, "server_unreachable" },
  { RefusalReason::kZonesEvacuated, "zones_evacuated" },
  { RefusalReason::kBrokenAnswer, "broken_answer" },
  { RefusalReason::kDeadlineExceeded, "out_of_time" },
  { RefusalReason::kHostStops, "host_stops" },
  { RefusalReason::kNoMemory, "no_memory" },
  { RefusalReason::kNoConnection, "no_connection" },
} };

// Why an attempt yielded no answer that can be relayed to the client.
enum class AttemptFailure
{
  kConnectFailed,
  kTurnedAway,
  kWrongServer,
  kBroken,
  kSilent,
  kServerError,
  // The request was not sent, since the server must get no more requests of this host now.
  kHeldBack,
  // The zone of the server was closed before the request was sent.
  kZoneEvacuated,
};

inline constexpr NameTable<AttemptFailure, 8> kAttemptFailureNames{ {
  { AttemptFailure::kConnectFailed, "connect_failed" },
  { AttemptFailure::kTurnedAway, "turned_away" },
  { AttemptFailure::kWrongServer, "other_server" },
  { AttemptFailure::kBroken, "broken" },
  { AttemptFailure::kSilent, "silent" },
  { AttemptFailure::kServerError, "server_error" },
  { AttemptFailure::kHeldBack, "held_back" },
  { AttemptFailure::kZoneEvacuated, "zone_evacuated" },
} };

// Retry-After value if the request cannot be served now: the time in which a server at its limit
// completes a request.
inline constexpr Milliseconds kRetryAfterFull{ 200 };

// Returns whether `aStatus` guarantees to clients that their request has not run.
bool
PromisesNotRun(int aStatus);

// The data about a server on which its selection for a request was based.
struct DispatchBasis
{
  BackendServerId mServer;
  AvailabilityZoneId mZone;
  int mInFlight = 0;
  // Prompt tokens of the requests of all hosts that were waiting for prefill at the server, and
  // the time since the last update of that estimate.
  double mWaitingTokens = 0;
  Milliseconds mBacklogAge{ 0 };
  // Prefill rate of the service's servers in tokens per second.
  double mPrefillRate = 0;
  // Prompt tokens of this request that the server has to prefill.
  double mUncachedTokens = 0;
  bool mHoldsCache = false;
  // The host that carries the connection; empty if it is direct.
  HostId mVia;
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  using EndCallback = std::function<void(const ClientSession*)>;

  // Starts to process a request. `aOnEnd` is called once when the request has ended, possibly
  // before Begin returns.
  static std::shared_ptr<Exchange> Begin(TrafficState& aState,
                                         const std::shared_ptr<ClientSession>& aSession,
                                         HttpRequest aRequest,
                                         EndCallback aOnEnd);

  Exchange(TrafficState& aState,
           const std::shared_ptr<ClientSession>& aSession,
           HttpRequest aRequest,
           EndCallback aOnEnd);

  // Must be called when the client has closed its connection. Cancels the request.
  void OnClientGone();
  // Must be called shortly before the host ends. Ends the request with an answer that is true of
  // it, or cuts off a stream that has begun.
  void OnHostStops();
  bool IsOver() const { return mOver; }

private:
  // One dispatch of the request to a backend server.
  struct Attempt
  {
    RegisteredServer mServer;
    std::shared_ptr<ServerConnection> mConnection;
    std::optional<MessageReader> mReader;
    // When the attempt began, then when the request was sent.
    Instant mSentAt;
    // Whether bytes of the request were sent. The server cannot have run it before.
    bool mSent = false;
    // Whether the attempt has used a permit for a server that warms up.
    bool mHasWarmUpPermit = false;
    // Whether a failure is the server's, as far as this host knows.
    bool mIsServerBlamed = true;
    double mPendingTokens = 0;
    bool mHeadChecked = false;
    // The answer that is being received belongs to another request and is discarded.
    bool mSkippingAnswer = false;
    // Number of answers to other requests that were received, and the bytes of their bodies. After
    // one the connection must not be reused.
    int mStrayAnswers = 0;
    std::size_t mStrayBytes = 0;
    bool mAnswerBegun = false;
    // Whether the server was silent for so long that other requests avoid it.
    bool mFoundSilent = false;
    // When the last complete events were received; the epoch before the first ones.
    Instant mLastEventsAt;
    // Whether a complete event, or the complete answer, was received.
    bool mIsSound = false;
    // What TrafficState::mMemory counts: the received bytes of the answer, and the copy of the
    // request that is being sent.
    std::size_t mBufferedBytes = 0;
    std::size_t mCopyBytes = 0;
    AnswerMetadata mAnswerMetadata;
  };

  void Start();
  bool CheckMemory();
  bool CheckConnections();
  void SetServerError(std::optional<HttpResponse> aAnswer);
  bool CheckRequest();
  bool CheckAccess();
  bool CheckCrashes();
  bool CheckQuota();
  std::string_view AccessText() const;
  void RecordPromptDemand();
  void TryNextServer();
  std::optional<RegisteredServer> SelectServer();
  std::optional<RegisteredServer> SelectFirstOrNextServer();
  std::vector<ServerCandidate> CandidatesOf(const std::vector<const RegisteredServer*>& aServers,
                                            Instant aNow);
  void KeepToZone(std::vector<ServerCandidate>& aCandidates, Instant aNow);
  bool IsServedAlikeEverywhere();
  bool UseLimits(std::vector<ServerCandidate>& aCandidates);
  std::optional<PermitSum> PermitsFor(const ServerCandidate& aCandidate, Instant aNow);
  bool KeepsWarmUpLimit();
  double MoreUrgentShare() const;
  EventTotals ServiceEvents(const std::vector<const RegisteredServer*>& aServers, Instant aNow);
  int Priority() const;
  void SendTo(const RegisteredServer& aServer);
  bool AcquireConnection(const RegisteredServer& aServer);
  void OnConnectionOpened(bool aIsOpen);
  void SendRequest();
  void CountCopy();
  MessageReader ResponseReader() const;
  std::string BuildRequest(const RegisteredServer& aServer, Milliseconds aTimeLeft) const;

  void OnServerBytes();
  void OnServerEnd(StreamEnd aEnd);
  bool CheckRequestHead();
  void RecordStatedLimit();
  void RecordBrittleness();
  void RecordLeaving();
  bool CheckBufferedBytes(MessageReadState aState);
  void RelayEvents();
  void RecordEventTime(std::int64_t aEvents);
  void RecordAnswerBegun();
  void RecordUndisturbedPrefill(Instant::duration aTime);
  void CountUsage();
  bool IsSuccessfulStream() const;
  bool IsCutOffStream() const;
  void OnAnswerComplete();
  void DeliverAnswer(HttpResponse aAnswer);
  void LogCompletion(int aStatus);
  Attempt ReleaseAttempt();
  void AbandonAttempt();
  void CountForRoute(const Attempt& aAttempt, int aServed);
  void FinishAttempt(DispatchOutcome aOutcome, bool aKeepConnection);
  void EndFailedAttempt(AttemptFailure aFailure);
  void OnAttemptFailed(AttemptFailure aFailure);
  bool MayRetry(AttemptFailure aFailure);
  void FailRequest(RefusalReason aReasonIfNotRun);
  void ArmSilenceTimer();
  void OnServerSilent();
  void CheckPathOfSilentServer();
  bool IsCutOffFrom(const RegisteredServer& aServer) const;
  int CountedRuns() const;
  void MoveWhenCutOff();
  void RecordSilentServer();
  void RecordBasis(const RegisteredServer& aServer, Instant aNow);
  void RecordDispatch();
  std::string BasisText() const;
  std::string SharedPartsText() const;

  void OnDeadline();
  void CountPossibleRun();
  void EndUnanswered(RefusalReason aReason);
  std::string AnswerTimesName() const;
  bool CanEndBeforeStop();
  void Refuse(int aStatus, RefusalReason aReason, std::optional<Milliseconds> aRetryAfter);
  void AbortAnswer(RefusalReason aReason);
  void End();
  Milliseconds TimeLeft() const;
  Milliseconds RetryAfter(Milliseconds aDelay) const;
  Milliseconds DelayOfRetry();
  void RecordLostServer(AttemptFailure aFailure);
  void ReportCrash();
  void ReportPromptAnswer();
  void ReportCompletion();
  bool IsRefused(Instant aNow) const;
  bool MayRepeat() const;
  ServerStatus& StatusOfServer(const BackendServerId& aServer);

  TrafficState& mState;
  std::shared_ptr<ClientSession> mSession;
  HttpRequest mRequest;
  EndCallback mOnEnd;
  RequestMetadata mMetadata;
  std::shared_ptr<const PublishedCatalogue> mCatalogue;
  const Route* mRoute = nullptr;
  // std::nullopt until it is decided who sent the request.
  std::optional<AccessDecision> mAccess;
  const ClientAccount* mAccount = nullptr;
  ServiceId mService;
  AllowedRegions mAllowedRegions;
  double mQuotaCost = 0;
  bool mQuotaConsumed = false;
  QuotaDecision mQuotaDecision;
  bool mUsageCounted = false;
  std::string mCacheKey;
  std::int64_t mSharedTokens = 0;
  // Identifies the request and its copies.
  SuspectKey mRequestKey = 0;
  // The parts of the prompt that other requests may share.
  std::vector<PromptPartKey> mSharedParts;
  Instant mArrivedAt;
  Instant mDeadline;
  EventLoop::TimerId mDeadlineTimer = 0;
  EventLoop::TimerId mSilenceTimer = 0;
  std::optional<Attempt> mAttempt;
  std::set<BackendServerId> mTriedServers;
  // Whether a server could not be connected to.
  bool mFoundUnreachable = false;
  // Whether the next attempt finds out if direct connections are answered again.
  bool mIsDirectTrial = false;
  // Whether the next retry has consumed its part of the budget already.
  bool mHasPaidForRetry = false;
  // Whether the last selection left out servers that are reached in no way.
  bool mLeftOutUnreachable = false;
  // Whether the last selection left out servers in evacuated zones.
  bool mLeftOutEvacuated = false;
  // Number of ended attempts in which the server may have run the request, and of all dispatches.
  int mPossibleRuns = 0;
  int mDispatches = 0;
  // Number of dispatches that failed because no connection was established.
  int mFailedConnects = 0;
  // Servers that were silent on a direct connection until the attempt was ended.
  std::vector<RegisteredServer> mSilentServers;
  // Set if the last selection found no server because of their limits: when one of them accepts a
  // request of this host again.
  std::optional<Instant> mLimitedUntil;
  EventSplitter mEvents;
  bool mStreaming = false;
  // Describes the last selected server. mAnswerBegunAt is when the first answer began.
  DispatchBasis mBasis;
  std::optional<Instant> mAnswerBegunAt;
  // An error answer of a server, relayed to the client if no later attempt succeeds.
  std::optional<HttpResponse> mServerError;
  // What TrafficState::mMemory counts for the request.
  std::size_t mRequestBytes = 0;
  bool mOver = false;
};

} // namespace trefoil
