#include "trefoil/http/internal/chunked_body.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace trefoil {
namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{ 16 } * 1024;

// Reads a line of at most `aMaxBytes` and removes its terminator, which must be CRLF.
ChunkedBodyResult
ReadLine(const ByteSource& aSource, std::size_t aMaxBytes, std::string& aLine)
{
  aLine.clear();
  while (!aLine.ends_with("\r\n")) {
    const int byte = aSource.mNextByte();
    if (byte < 0) {
      return ChunkedBodyResult::kCutShort;
    }
    aLine.push_back(static_cast<char>(byte));
    const bool isBareLineFeed = byte == '\n' && !aLine.ends_with("\r\n");
    if (isBareLineFeed || aLine.size() > aMaxBytes) {
      return ChunkedBodyResult::kMalformed;
    }
  }
  aLine.resize(aLine.size() - 2);
  return ChunkedBodyResult::kComplete;
}

// Returns the size that the line of a chunk begins with, or std::nullopt if there is none.
std::optional<std::uint64_t>
ParseChunkSize(std::string_view aLine)
{
  constexpr int kHexadecimal = 16;
  const std::string_view digits = aLine.substr(0, aLine.find_first_of("; \t"));
  std::uint64_t size = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), size, kHexadecimal);
  if (error != std::errc{} || digits.empty() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return size;
}

ChunkedBodyResult
ReadBytes(const ByteSource& aSource, std::uint64_t aCount, std::string& aBody)
{
  std::array<char, kReadBufferBytes> buffer{};
  while (aCount > 0) {
    const auto wanted = static_cast<int>(std::min<std::uint64_t>(aCount, buffer.size()));
    const int count = aSource.mRead(buffer.data(), wanted);
    if (count <= 0) {
      return ChunkedBodyResult::kCutShort;
    }
    aBody.append(buffer.data(), static_cast<std::size_t>(count));
    aCount -= static_cast<std::uint64_t>(count);
  }
  return ChunkedBodyResult::kComplete;
}

// Reads up to the empty line that ends the message.
ChunkedBodyResult
SkipTrailers(const ByteSource& aSource, std::size_t aMaxBytes)
{
  std::string line;
  std::size_t left = aMaxBytes;
  do {
    const ChunkedBodyResult read = ReadLine(aSource, left, line);
    if (read != ChunkedBodyResult::kComplete) {
      return read;
    }
    left -= std::min(left, line.size() + 2);
  } while (!line.empty());
  return ChunkedBodyResult::kComplete;
}

} // namespace

ChunkedBodyResult
ReadChunkedBody(const ByteSource& aSource, const ChunkedBodyLimits& aLimits, std::string& aBody)
{
  std::string line;
  while (true) {
    ChunkedBodyResult read = ReadLine(aSource, aLimits.mMaxLineBytes, line);
    if (read != ChunkedBodyResult::kComplete) {
      return read;
    }
    const auto size = ParseChunkSize(line);
    if (!size.has_value()) {
      return ChunkedBodyResult::kMalformed;
    }
    if (*size == 0) {
      return SkipTrailers(aSource, aLimits.mMaxTrailerBytes);
    }
    if (*size > aLimits.mMaxBodyBytes - std::min(aLimits.mMaxBodyBytes, aBody.size())) {
      return ChunkedBodyResult::kTooLarge;
    }
    read = ReadBytes(aSource, *size, aBody);
    if (read == ChunkedBodyResult::kComplete) {
      read = ReadLine(aSource, 2, line);
    }
    if (read != ChunkedBodyResult::kComplete) {
      return read;
    }
  }
}

} // namespace trefoil
