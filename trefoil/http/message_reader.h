// Reads HTTP/1.1 messages from bytes as they arrive, without sockets.
//
//   MessageReader reader = MessageReader::ForAnswer({});
//   switch (reader.Consume(stream.Received())) {
//     case ReadState::kComplete: use(reader.Answer(), reader.Body());
//
// The framing is decoded by Boost.Beast. Folded headers, bare line feeds and bodies whose end is
// left open are malformed. One object reads one message.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/http/message.h"

#include <cstddef>
#include <memory>
#include <string>

namespace trefoil {

enum class ReadState
{
  kHead,
  kBody,
  kComplete,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

inline constexpr NameTable<ReadState, 6> kReadStateNames{ {
  { ReadState::kHead, "head" },
  { ReadState::kBody, "body" },
  { ReadState::kComplete, "complete" },
  { ReadState::kMalformed, "malformed" },
  { ReadState::kHeadTooLarge, "head_too_large" },
  { ReadState::kBodyTooLarge, "body_too_large" },
} };

struct MessageLimits
{
  // Bytes of the first line and the headers, and of the body.
  std::size_t mMaxHeadBytes = std::size_t{ 32 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } * 1024 * 1024;
};

class MessageReader
{
public:
  static MessageReader ForRequest(MessageLimits aLimits);
  // `aHasBody` is false for the answer to a HEAD request.
  static MessageReader ForAnswer(MessageLimits aLimits, bool aHasBody = true);

  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;
  ~MessageReader();

  // Takes the bytes that belong to the message from the front of `aBytes`. Decoded body bytes are
  // appended to Body(). Informational answers (1xx) are skipped.
  ReadState Consume(std::string& aBytes);
  // The peer ended cleanly after the bytes consumed: an answer without a length is complete.
  ReadState ConsumeEnd();

  ReadState State() const;
  bool HeadDone() const;
  // The head of a request; valid once HeadDone.
  const HttpRequest& Request() const;
  // Status and headers of an answer; valid once HeadDone.
  const HttpAnswer& Answer() const;
  // Decoded body bytes that the owner has not taken away.
  std::string& Body();
  // Whether the connection may carry another message after this one.
  bool KeepsAlive() const;

private:
  struct Impl;
  explicit MessageReader(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoil
