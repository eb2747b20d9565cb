// Incremental parser for one HTTP/1.1 message. It does no I/O.
//
//   MessageReader reader = MessageReader::ForResponse({});
//   switch (reader.Consume(stream.Received())) {
//     case MessageReadState::kComplete:
//       Use(reader.Response(), reader.Body());
//
// Boost.Beast decodes the framing. Folded headers, bare line feeds as line terminators and messages
// without an unambiguous end of the body (framing.h) are reported as malformed. What the reader
// leaves in the caller's buffer until more bytes arrive is at most as long as a head. Not
// thread-safe.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/http/message.h"

#include <cstddef>
#include <limits>
#include <memory>
#include <string>

namespace trefoil {

enum class MessageReadState
{
  kHead,
  kBody,
  kComplete,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  // The size line of a chunk, with its extensions, or the trailers exceed the limit of the head, or
  // too many informational responses precede the final one.
  kFramingTooLarge,
};

inline constexpr NameTable<MessageReadState, 7> kMessageReadStateNames{ {
  { MessageReadState::kHead, "head" },
  { MessageReadState::kBody, "body" },
  { MessageReadState::kComplete, "complete" },
  { MessageReadState::kMalformed, "malformed" },
  { MessageReadState::kHeadTooLarge, "head_too_large" },
  { MessageReadState::kBodyTooLarge, "body_too_large" },
  { MessageReadState::kFramingTooLarge, "framing_too_large" },
} };

// Informational responses (1xx) that may precede a response. A server sends one of each kind.
inline constexpr int kMaxInformationalResponses = 16;

struct HttpMessageLimits
{
  // The head is the start line and the headers. Also limits the size line of a chunk and the
  // trailers.
  std::size_t mMaxHeadBytes = std::size_t{ 32 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } * 1024 * 1024;
  // A message with more headers, or with a longer one, is malformed.
  std::size_t mMaxHeaders = std::numeric_limits<std::size_t>::max();
  std::size_t mMaxHeaderBytes = std::numeric_limits<std::size_t>::max();
};

class MessageReader
{
public:
  static MessageReader ForRequest(HttpMessageLimits aLimits);
  // `aHasBody` must be false for the response to a HEAD request.
  static MessageReader ForResponse(HttpMessageLimits aLimits, bool aHasBody = true);

  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;
  ~MessageReader();

  // Parses the bytes that belong to the message and removes them from the front of `aBytes`.
  // Appends the decoded body to Body(). Skips informational responses (1xx). Returns the new state.
  MessageReadState Consume(std::string& aBytes);
  // Handles a clean end of the connection, which completes a response that has neither
  // Content-Length nor chunked encoding. Returns the new state.
  MessageReadState ConsumeEof();

  MessageReadState State() const;
  bool IsHeadComplete() const;
  // The head of the request. Must be called only on a reader for requests; complete once
  // IsHeadComplete() is true.
  const HttpRequest& Request() const;
  // Returns the complete request with its body, and leaves an empty one. Must be called only on a
  // reader for requests.
  HttpRequest TakeRequest();
  // The status and headers of the response. Must be called only on a reader for responses; complete
  // once IsHeadComplete() is true.
  const HttpResponse& Response() const;
  // The decoded body bytes that the caller has not removed from this string.
  std::string& Body();
  // Returns whether the connection may be reused after this message.
  bool KeepsAlive() const;
  // Returns the bytes of memory that the message takes, its body with the capacity of its buffer.
  std::size_t HeldBytes() const;

private:
  struct Impl;
  explicit MessageReader(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoil
