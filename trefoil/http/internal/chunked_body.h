// Reads a chunked body from a blocking connection.
//
//   std::string body;
//   switch (ReadChunkedBody(source, { .mMaxBodyBytes = limit }, body)) { ... }
//
// The library's own decoder keeps the digits of a chunk size without a limit.
#pragma once

#include "trefoil/base/name_table.h"

#include <cstddef>
#include <functional>
#include <string>

namespace trefoil {

struct ByteSource
{
  // Returns the next byte, or a negative number at the end of the connection.
  std::function<int()> mNextByte;
  // Reads up to `aCount` bytes. Returns their number, or 0 at the end of the connection.
  std::function<int(char* aBytes, int aCount)> mRead;
};

struct ChunkedBodyLimits
{
  std::size_t mMaxBodyBytes = 0;
  // Of the size line of a chunk, with its extensions.
  std::size_t mMaxLineBytes = std::size_t{ 4 } * 1024;
  std::size_t mMaxTrailerBytes = std::size_t{ 32 } * 1024;
};

enum class ChunkedBodyResult
{
  kComplete,
  kMalformed,
  kTooLarge,
  // The connection ended within the body.
  kCutShort,
};

inline constexpr NameTable<ChunkedBodyResult, 4> kChunkedBodyResultNames{ {
  { ChunkedBodyResult::kComplete, "complete" },
  { ChunkedBodyResult::kMalformed, "malformed" },
  { ChunkedBodyResult::kTooLarge, "too_large" },
  { ChunkedBodyResult::kCutShort, "cut_short" },
} };

// Reads up to the end of the trailers and appends the decoded body to `aBody`. Passes on the
// exceptions of the source.
ChunkedBodyResult
ReadChunkedBody(const ByteSource& aSource, const ChunkedBodyLimits& aLimits, std::string& aBody);

} // namespace trefoil
