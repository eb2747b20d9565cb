// Keeps many client connections open that break the rules which ordinary clients keep: they stop
// short of the end of a request, send more than they may, or do not read answers.
//
//   hostile-client whole_body 127.0.41.1:18080 --path=/write/1 --clients=60
//
// One thread serves all connections. Prints `settled` with what was sent and answered once each
// client has sent all that it wants to send or has used up its connections, or when none of them
// gets on any more, and keeps the connections open until SIGTERM.
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/command_line/command_line.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace trefoil;

constexpr const char* kUsage = R"(hostile-client, many clients that break the rules.

Usage:
  hostile-client KIND TARGET --path=PATH [--clients=N] [--body-bytes=N] [--header=TEXT]

Options:
  --clients=N     The number of clients [default: 60].
  --body-bytes=N  The limit on a body [default: 4194304].
  --header=TEXT   A further header of each request.

KIND: whole_body, body_in_pieces, large_chunks, small_chunks, announced_over_limit, sent_over_limit, byte_by_byte,
unread_answers, open_only, heads_over_limit, endless_target, endless_header, endless_headers, endless_short_headers,
empty_lines, bare_line_feeds, endless_trailers, endless_extension, tiny_chunks_over_limit, unread_small_answers,
unfinished_heads, waiting_heads, idle_after_large, many_requests, endless_frame or reconnecting.
)";

enum class HostileKind
{
  // Bodies of legal size, in writes as large as the socket takes or in small ones.
  kWholeBody,
  kBodyInPieces,
  // Bodies of legal size, in chunks of 64 kB or of 16 bytes. Chunks of one byte take so much time
  // that the requests time out before they hold much.
  kLargeChunks,
  kSmallChunks,
  // Bodies far over the limit, whose length is announced or not.
  kAnnouncedOverLimit,
  kSentOverLimit,
  // A head and a short body, one byte at a time.
  kByteByByte,
  // Several requests at once, whose answers are not read.
  kUnreadAnswers,
  // Connections without a request.
  kOpenOnly,
  // Complete heads far over the limit.
  kHeadsOverLimit,
  // Heads that do not end: within the target, within one header, or with one header after the
  // other, long or short.
  kEndlessTarget,
  kEndlessHeader,
  kEndlessHeaders,
  kEndlessShortHeaders,
  // Empty lines before a request, which ends none of them.
  kEmptyLines,
  kBareLineFeeds,
  // Chunked bodies that do not end, after the last chunk or within the size line of the first one.
  kEndlessTrailers,
  kEndlessExtension,
  // A body over the limit in chunks of one byte.
  kTinyChunksOverLimit,
  // Small requests one after the other, whose answers are not read.
  kUnreadSmallAnswers,
  // Heads just below the limit, without their end or complete.
  kUnfinishedHeads,
  kWaitingHeads,
  // Complete requests of 100 kB, after whose answers the connections stay open.
  kIdleAfterLarge,
  // Complete requests of 30 kB.
  kManyRequests,
  // A frame of the protocol between entry hosts that does not end.
  kEndlessFrame,
  // Malformed requests, from clients that connect again as soon as they are closed, without end.
  kReconnecting,
};

constexpr NameTable<HostileKind, 26> kHostileKindNames{ {
  { HostileKind::kWholeBody, "whole_body" },
  { HostileKind::kBodyInPieces, "body_in_pieces" },
  { HostileKind::kLargeChunks, "large_chunks" },
  { HostileKind::kSmallChunks, "small_chunks" },
  { HostileKind::kAnnouncedOverLimit, "announced_over_limit" },
  { HostileKind::kSentOverLimit, "sent_over_limit" },
  { HostileKind::kByteByByte, "byte_by_byte" },
  { HostileKind::kUnreadAnswers, "unread_answers" },
  { HostileKind::kOpenOnly, "open_only" },
  { HostileKind::kHeadsOverLimit, "heads_over_limit" },
  { HostileKind::kEndlessTarget, "endless_target" },
  { HostileKind::kEndlessHeader, "endless_header" },
  { HostileKind::kEndlessHeaders, "endless_headers" },
  { HostileKind::kEndlessShortHeaders, "endless_short_headers" },
  { HostileKind::kEmptyLines, "empty_lines" },
  { HostileKind::kBareLineFeeds, "bare_line_feeds" },
  { HostileKind::kEndlessTrailers, "endless_trailers" },
  { HostileKind::kEndlessExtension, "endless_extension" },
  { HostileKind::kTinyChunksOverLimit, "tiny_chunks_over_limit" },
  { HostileKind::kUnreadSmallAnswers, "unread_small_answers" },
  { HostileKind::kUnfinishedHeads, "unfinished_heads" },
  { HostileKind::kWaitingHeads, "waiting_heads" },
  { HostileKind::kIdleAfterLarge, "idle_after_large" },
  { HostileKind::kManyRequests, "many_requests" },
  { HostileKind::kEndlessFrame, "endless_frame" },
  { HostileKind::kReconnecting, "reconnecting" },
} };

// Each client whose number is a multiple of this finishes its request.
constexpr int kFinishingClients = 8;
constexpr std::size_t kMissingBytes = 10;
constexpr std::size_t kPieceBytes = 9'973;
constexpr std::size_t kLargeChunkBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kSmallChunkBytes = 16;
// The factor by which a body that is over the limit exceeds it.
constexpr std::size_t kOverLimitFactor = 12;
constexpr int kPipelinedRequests = 8;
constexpr Milliseconds kByteInterval{ 5 };
constexpr std::size_t kSlowBodyBytes = 1'000;
// What the peer accepts is counted, not what the own kernel holds.
constexpr int kSendBufferBytes = 64 * 1024;
// What a client sends that does not end.
constexpr std::size_t kEndlessBytes = 50'000'000;
constexpr std::size_t kLongHeaderBytes = 1'000;
constexpr std::size_t kLargeHeadBytes = 15'900;
constexpr std::size_t kLargeRequestBytes = 100'000;
constexpr std::size_t kOrdinaryRequestBytes = 30'000;
// Clients that have neither sent nor received anything for this long do not go on.
constexpr Milliseconds kStallTime{ 3'000 };
// A client whose connection was closed connects again, up to this number of connections.
constexpr int kConnectionsOfClient = 3;

// What a client sends: the head, `mBodyBytes` bytes of repetitions of `mUnit`, then `mTail`.
struct Script
{
  std::string mHead;
  std::string mUnit;
  std::size_t mBodyBytes = 0;
  std::string mTail;
  // The maximum of one write.
  std::size_t mWriteBytes = kLargeChunkBytes;
  // The pause between two writes.
  Milliseconds mPause{ 0 };
  bool mReads = true;
  // Whether a client goes on connecting when it has used up its connections.
  bool mReturns = false;
};

struct Options
{
  HostileKind mKind = HostileKind::kOpenOnly;
  Endpoint mTarget;
  std::string mPath;
  std::string mHeader;
  std::size_t mBodyBytes = 0;
};

struct Client
{
  Script mScript;
  int mSocket = -1;
  std::size_t mSent = 0;
  int mConnections = 0;
  // Whether the connection is read; not after its end.
  bool mReads = true;
  Instant mNextWrite;
  std::string mAnswer;
};

struct Totals
{
  Instant mLastProgress = Now();
  std::size_t mSentBytes = 0;
  std::size_t mClosed = 0;
  std::map<std::string, int> mStatuses;
};

std::string
Head(const Options& aOptions, const std::string& aFraming)
{
  return fmt::format("{} {} HTTP/1.1\r\nHost: soak.example\r\nContent-Type: text/plain\r\n"
                     "Request-Id: {}\r\n{}{}\r\n",
                     aFraming.empty() ? "GET" : "POST",
                     aOptions.mPath,
                     "hostile",
                     aOptions.mHeader.empty() ? "" : aOptions.mHeader + "\r\n",
                     aFraming);
}

// Returns the script of a body in chunks of `aChunkBytes`, `aBodyBytes` together.
Script
ChunkedScript(const Options& aOptions, std::size_t aChunkBytes, std::size_t aBodyBytes)
{
  Script script{ .mHead = Head(aOptions, "Transfer-Encoding: chunked\r\n"),
                 .mUnit =
                   fmt::format("{:x}\r\n{}\r\n", aChunkBytes, std::string(aChunkBytes, 'x')) };
  script.mBodyBytes = aBodyBytes / aChunkBytes * script.mUnit.size();
  return script;
}

std::string
Repeated(std::string_view aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

// Returns a script that goes on with `aUnit` after `aHead` until kEndlessBytes are sent.
Script
EndlessScript(std::string aHead, std::string_view aUnit)
{
  return { .mHead = std::move(aHead),
           .mUnit = Repeated(aUnit, kLargeChunkBytes),
           .mBodyBytes = kEndlessBytes };
}

// Returns a request without its empty line, whose head has up to `aBytes` bytes.
std::string
HeadOf(const Options& aOptions, std::size_t aBytes)
{
  std::string head = Head(aOptions, "Content-Length: 0\r\n");
  head.resize(head.size() - 2);
  const std::string header = fmt::format("X-Part: {}\r\n", std::string(kLongHeaderBytes, 'x'));
  while (head.size() + header.size() < aBytes) {
    head += header;
  }
  return head;
}

// Returns a complete request with a body of `aBodyBytes`.
Script
SizedScript(const Options& aOptions, std::size_t aBodyBytes)
{
  return { .mHead = Head(aOptions, fmt::format("Content-Length: {}\r\n", aBodyBytes)),
           .mUnit = std::string(kLargeChunkBytes, 'x'),
           .mBodyBytes = aBodyBytes };
}

// Returns the script of a client whose head is unusual, or that sends nothing but heads.
Script
MakeHeadScript(const Options& aOptions)
{
  const std::string open = HeadOf(aOptions, 0);
  const std::string header = fmt::format("X-Part: {}\r\n", std::string(kLongHeaderBytes, 'x'));
  switch (aOptions.mKind) {
    case HostileKind::kHeadsOverLimit:
      return { .mHead = HeadOf(aOptions, kOverLimitFactor * kLargeHeadBytes) + "\r\n" };
    case HostileKind::kEndlessTarget:
      return EndlessScript(fmt::format("GET {}/", aOptions.mPath), "x");
    case HostileKind::kEndlessHeader:
      return EndlessScript(open + "X-Part: ", "x");
    case HostileKind::kEndlessHeaders:
      return EndlessScript(open, header);
    case HostileKind::kEndlessShortHeaders:
      return EndlessScript(open, "a:\r\n");
    case HostileKind::kEmptyLines:
      return EndlessScript("", "\r\n");
    case HostileKind::kBareLineFeeds:
      return EndlessScript("", "\n");
    case HostileKind::kUnreadSmallAnswers: {
      Script script = EndlessScript("", Head(aOptions, ""));
      script.mReads = false;
      return script;
    }
    case HostileKind::kUnfinishedHeads:
      return { .mHead = HeadOf(aOptions, kLargeHeadBytes) };
    case HostileKind::kReconnecting:
      return { .mHead = "malformed\r\n\r\n", .mReturns = true };
    case HostileKind::kWaitingHeads:
      return { .mHead = HeadOf(aOptions, kLargeHeadBytes) + "\r\n" };
    default:
      return {};
  }
}

Script
MakeScript(const Options& aOptions, bool aFinishes)
{
  const std::string unit(kLargeChunkBytes, 'x');
  const std::string length = fmt::format("Content-Length: {}\r\n", aOptions.mBodyBytes);
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::size_t missing = aFinishes ? 0 : kMissingBytes;
  const std::string end = aFinishes ? "0\r\n\r\n" : "";
  switch (aOptions.mKind) {
    case HostileKind::kWholeBody:
      return { .mHead = Head(aOptions, length),
               .mUnit = unit,
               .mBodyBytes = aOptions.mBodyBytes - missing };
    case HostileKind::kBodyInPieces:
      return { .mHead = Head(aOptions, length),
               .mUnit = unit,
               .mBodyBytes = aOptions.mBodyBytes - missing,
               .mWriteBytes = kPieceBytes };
    case HostileKind::kLargeChunks: {
      Script script = ChunkedScript(aOptions, kLargeChunkBytes, aOptions.mBodyBytes);
      script.mTail = end;
      return script;
    }
    case HostileKind::kSmallChunks: {
      Script script = ChunkedScript(aOptions, kSmallChunkBytes, aOptions.mBodyBytes / 2);
      script.mTail = end;
      return script;
    }
    case HostileKind::kAnnouncedOverLimit:
      return { .mHead = Head(
                 aOptions,
                 fmt::format("Content-Length: {}\r\n", kOverLimitFactor * aOptions.mBodyBytes)),
               .mUnit = unit,
               .mBodyBytes = kOverLimitFactor * aOptions.mBodyBytes - missing };
    case HostileKind::kSentOverLimit:
      return ChunkedScript(aOptions, kLargeChunkBytes, kOverLimitFactor * aOptions.mBodyBytes);
    case HostileKind::kByteByByte:
      return { .mHead = Head(aOptions, fmt::format("Content-Length: {}\r\n", kSlowBodyBytes)),
               .mUnit = unit,
               .mBodyBytes = kSlowBodyBytes - missing,
               .mWriteBytes = 1,
               .mPause = kByteInterval };
    case HostileKind::kUnreadAnswers: {
      Script script{ .mReads = false };
      for (int i = 0; i < kPipelinedRequests; ++i) {
        script.mHead += Head(aOptions, "");
      }
      return script;
    }
    case HostileKind::kEndlessTrailers:
      return EndlessScript(Head(aOptions, chunked) + "1\r\nx\r\n0\r\n", "X-Part: x\r\n");
    case HostileKind::kEndlessExtension:
      return EndlessScript(Head(aOptions, chunked) + "1;x=", "x");
    case HostileKind::kTinyChunksOverLimit:
      return EndlessScript(Head(aOptions, chunked), "1\r\nx\r\n");
    case HostileKind::kIdleAfterLarge:
      return SizedScript(aOptions, kLargeRequestBytes);
    case HostileKind::kManyRequests:
      return SizedScript(aOptions, kOrdinaryRequestBytes);
    case HostileKind::kEndlessFrame:
      // The length of the frame, 48 MB in little-endian order, then its bytes.
      return EndlessScript(std::string{ "\x00\x00\x00\x03", 4 }, "x");
    case HostileKind::kOpenOnly:
    case HostileKind::kHeadsOverLimit:
    case HostileKind::kEndlessTarget:
    case HostileKind::kEndlessHeader:
    case HostileKind::kEndlessHeaders:
    case HostileKind::kEndlessShortHeaders:
    case HostileKind::kEmptyLines:
    case HostileKind::kBareLineFeeds:
    case HostileKind::kUnreadSmallAnswers:
    case HostileKind::kUnfinishedHeads:
    case HostileKind::kWaitingHeads:
    case HostileKind::kReconnecting:
      break;
  }
  return MakeHeadScript(aOptions);
}

std::size_t
TotalBytes(const Script& aScript)
{
  return aScript.mHead.size() + aScript.mBodyBytes + aScript.mTail.size();
}

// Returns the bytes of the script from `aOffset` on, as many as one write may have.
std::string_view
BytesAt(const Script& aScript, std::size_t aOffset)
{
  if (aOffset < aScript.mHead.size()) {
    return std::string_view{ aScript.mHead }.substr(aOffset, aScript.mWriteBytes);
  }
  const std::size_t offset = aOffset - aScript.mHead.size();
  if (offset < aScript.mBodyBytes) {
    const std::size_t count = std::min(aScript.mWriteBytes, aScript.mBodyBytes - offset);
    return std::string_view{ aScript.mUnit }.substr(offset % aScript.mUnit.size(), count);
  }
  return std::string_view{ aScript.mTail }.substr(offset - aScript.mBodyBytes);
}

bool
IsAllSent(const Client& aClient)
{
  return aClient.mSent == TotalBytes(aClient.mScript);
}

bool
IsSettled(const Client& aClient)
{
  const bool hasUsedConnections = aClient.mConnections >= kConnectionsOfClient;
  if (aClient.mScript.mReturns) {
    return hasUsedConnections;
  }
  return aClient.mSocket < 0 ? hasUsedConnections : IsAllSent(aClient);
}

void
Connect(Client& aClient, const Endpoint& aTarget)
{
  sockaddr_in address{ .sin_family = AF_INET,
                       .sin_port = htons(aTarget.mPort),
                       .sin_addr = { .s_addr = aTarget.mAddress.empty()
                                                 ? INADDR_ANY
                                                 : inet_addr(aTarget.mAddress.c_str()) } };
  aClient.mSent = 0;
  aClient.mReads = aClient.mScript.mReads;
  aClient.mAnswer.clear();
  ++aClient.mConnections;
  aClient.mSocket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt(aClient.mSocket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
  if (!aClient.mScript.mReads) {
    constexpr int kReceiveBufferBytes = 4'096;
    setsockopt(
      aClient.mSocket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  }
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the interface of the system.
  connect(aClient.mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void
OnClosed(Client& aClient, Totals& aTotals)
{
  ++aTotals.mClosed;
  close(aClient.mSocket);
  aClient.mSocket = -1;
}

void
Read(Client& aClient, Totals& aTotals)
{
  std::array<char, 4'096> buffer{};
  const ssize_t count = recv(aClient.mSocket, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    aTotals.mLastProgress = Now();
    constexpr std::size_t kStatusEnd = std::string_view{ "HTTP/1.1 200" }.size();
    const bool wasKnown = aClient.mAnswer.size() >= kStatusEnd;
    aClient.mAnswer.append(buffer.data(), static_cast<std::size_t>(count));
    if (!wasKnown && aClient.mAnswer.size() >= kStatusEnd) {
      ++aTotals.mStatuses[aClient.mAnswer.substr(kStatusEnd - 3, 3)];
    }
    aClient.mAnswer.resize(std::min(aClient.mAnswer.size(), kStatusEnd));
  } else if (count == 0 && !IsAllSent(aClient)) {
    // The client goes on sending, whatever the peer has answered.
    aClient.mReads = false;
  } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
    OnClosed(aClient, aTotals);
  }
}

void
Write(Client& aClient, Totals& aTotals)
{
  const std::string_view bytes = BytesAt(aClient.mScript, aClient.mSent);
  const ssize_t count = send(aClient.mSocket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count >= 0) {
    aTotals.mLastProgress = Now();
    aClient.mSent += static_cast<std::size_t>(count);
    aTotals.mSentBytes += static_cast<std::size_t>(count);
    aClient.mNextWrite = Now() + aClient.mScript.mPause;
  } else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
    OnClosed(aClient, aTotals);
  }
}

// Serves each client once, or waits for some ms.
void
Step(std::vector<Client>& aClients, const Endpoint& aTarget, Totals& aTotals)
{
  const Instant now = Now();
  std::vector<pollfd> polled;
  for (Client& client : aClients) {
    if (client.mSocket < 0 &&
        (client.mConnections < kConnectionsOfClient || client.mScript.mReturns)) {
      Connect(client, aTarget);
    }
    const bool writes = !IsAllSent(client) && HasPassed(client.mNextWrite, now);
    const int events = (client.mReads ? POLLIN : 0) | (writes ? POLLOUT : 0);
    polled.push_back({ .fd = client.mSocket, .events = static_cast<short>(events), .revents = 0 });
  }
  constexpr int kMaxWaitMs = 5;
  poll(polled.data(), polled.size(), kMaxWaitMs);
  for (std::size_t i = 0; i < aClients.size(); ++i) {
    const unsigned ready = static_cast<unsigned short>(polled[i].revents);
    if ((ready & POLLOUT) != 0) {
      Write(aClients[i], aTotals);
    }
    if (aClients[i].mSocket < 0) {
      continue;
    }
    if ((ready & POLLIN) != 0) {
      Read(aClients[i], aTotals);
    } else if ((ready & (POLLERR | POLLHUP)) != 0 && (ready & POLLOUT) == 0) {
      OnClosed(aClients[i], aTotals);
    }
  }
}

volatile std::sig_atomic_t sStopped = 0;

void
Run(const Options& aOptions, std::vector<Client>& aClients)
{
  Totals totals;
  bool isReported = false;
  while (sStopped == 0) {
    Step(aClients, aOptions.mTarget, totals);
    const bool isStalled = HasPassed(totals.mLastProgress + kStallTime, Now());
    if (!isReported && (isStalled || std::ranges::all_of(aClients, IsSettled))) {
      isReported = true;
      std::string statuses;
      for (const auto& [status, count] : totals.mStatuses) {
        statuses += fmt::format(" {}x{}", count, status);
      }
      fmt::print("settled clients={} sent_bytes={} closed={} statuses={}\n",
                 aClients.size(),
                 totals.mSentBytes,
                 totals.mClosed,
                 statuses);
      std::fflush(stdout);
    }
  }
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine = ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "hostile-client" }, aArgumentCount, aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const auto& arguments = commandLine.mArguments;
  const auto kind = ValueOf(kHostileKindNames, arguments.at("KIND").asString());
  const auto target = ParseEndpoint(arguments.at("TARGET").asString());
  const auto clients = NumberOption(commandLine, "--clients", 1);
  const auto bodyBytes = NumberOption(commandLine, "--body-bytes", 1);
  if (!kind.has_value() || !target.ok() || !clients.has_value() || !bodyBytes.has_value()) {
    fmt::print(stderr, "invalid KIND, TARGET or number\n");
    return kExitBadInput;
  }
  const auto& header = arguments.at("--header");
  const Options options{ .mKind = *kind,
                         .mTarget = *target,
                         .mPath = arguments.at("--path").asString(),
                         .mHeader = header.isString() ? header.asString() : "",
                         .mBodyBytes = static_cast<std::size_t>(*bodyBytes) };
  std::signal(SIGTERM, [](int /*aSignal*/) { sStopped = 1; });
  std::vector<Client> all;
  for (std::int64_t i = 0; i < *clients; ++i) {
    all.push_back({ .mScript = MakeScript(options, i % kFinishingClients == 0) });
  }
  Run(options, all);
  return 0;
}
