#include "trefoil/http/message_reader.h"

#include "trefoil/http/framing.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <string_view>
#include <utility>

namespace trefoil {
namespace {

namespace beast = boost::beast;

constexpr std::string_view kHeadTerminator = "\r\n\r\n";
constexpr int kMinFinalStatus = 200;
// A response with another status is malformed, since no reader could tell what it promises.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

std::string
ToString(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Appends bytes of a body of `aLength` bytes, or of an unknown length if that is 0. A body of a
// stated length grows by half, and never beyond that length. The length is not allocated at once,
// since most of it may never come.
void
AppendGrowing(std::string& aBody, beast::string_view aBytes, std::uint64_t aLength)
{
  const std::size_t needed = aBody.size() + aBytes.size();
  if (needed > aBody.capacity() && needed <= aLength) {
    // Not by reserve() of the body itself, since libstdc++ at least doubles a capacity.
    std::string grown;
    grown.reserve(
      std::min<std::uint64_t>(aLength, std::max(needed, aBody.capacity() + aBody.capacity() / 2)));
    grown.append(aBody);
    aBody = std::move(grown);
  }
  aBody.append(aBytes.data(), aBytes.size());
}

// Stores the parts of a message that Boost.Beast reports through its callbacks.
template<bool IsRequest>
class Parser : public beast::http::basic_parser<IsRequest>
{
public:
  HttpRequest mRequest;
  HttpResponse mResponse;
  std::string mBody;

private:
  using error_code = beast::error_code;

  void on_request_impl(beast::http::verb /*aVerb*/,
                       beast::string_view aMethod,
                       beast::string_view aTarget,
                       int /*aVersion*/,
                       error_code& /*aError*/) override
  {
    mRequest.mMethod = ToString(aMethod);
    mRequest.mTarget = ToString(aTarget);
  }
  void on_response_impl(int aCode,
                        beast::string_view /*aReason*/,
                        int /*aVersion*/,
                        error_code& aError) override
  {
    mResponse.mStatus = aCode;
    if (aCode < kMinStatus || aCode > kMaxStatus) {
      aError = beast::http::error::bad_status;
    }
  }
  void on_field_impl(beast::http::field /*aField*/,
                     beast::string_view aName,
                     beast::string_view aValue,
                     error_code& /*aError*/) override
  {
    // Fields after the head are trailers, which are ignored.
    if (!mHeadComplete) {
      auto& headers = IsRequest ? mRequest.mHeaders : mResponse.mHeaders;
      headers.push_back({ ToString(aName), ToString(aValue) });
    }
  }
  void on_header_impl(error_code& /*aError*/) override { mHeadComplete = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         error_code& /*aError*/) override
  {
    mBodyLength = aLength.value_or(0);
  }
  std::size_t on_body_impl(beast::string_view aBytes, error_code& /*aError*/) override
  {
    AppendGrowing(mBody, aBytes, mBodyLength);
    return aBytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            error_code& /*aError*/) override
  {
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 beast::string_view aBytes,
                                 error_code& /*aError*/) override
  {
    AppendGrowing(mBody, aBytes, mBodyLength);
    return aBytes.size();
  }
  void on_finish_impl(error_code& /*aError*/) override {}

  bool mHeadComplete = false;
  // The stated length of the body; 0 if none is stated.
  std::uint64_t mBodyLength = 0;
};

// Returns whether the head contains a header that is folded over several lines (RFC 9112, section
// 5.2).
bool
HasFoldedHeader(std::string_view aBytes)
{
  const std::string_view head = aBytes.substr(0, aBytes.find(kHeadTerminator));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

template<bool IsRequest>
void
SetLimits(Parser<IsRequest>& aParser, const HttpMessageLimits& aLimits)
{
  aParser.eager(true);
  aParser.header_limit(static_cast<std::uint32_t>(aLimits.mMaxHeadBytes));
  aParser.body_limit(aLimits.mMaxBodyBytes);
}

// Returns the state of the message after the parser has returned `aError`.
template<bool IsRequest>
MessageReadState
StateAfterParsing(const Parser<IsRequest>& aParser, const beast::error_code& aError)
{
  if (aError == beast::http::error::header_limit) {
    return MessageReadState::kHeadTooLarge;
  }
  if (aError == beast::http::error::body_limit) {
    return MessageReadState::kBodyTooLarge;
  }
  if (aError && aError != beast::http::error::need_more) {
    return MessageReadState::kMalformed;
  }
  if (aParser.is_done()) {
    return MessageReadState::kComplete;
  }
  return aParser.is_header_done() ? MessageReadState::kBody : MessageReadState::kHead;
}

// Returns whether more bytes are awaited.
bool
IsUnfinished(MessageReadState aState)
{
  return aState == MessageReadState::kHead || aState == MessageReadState::kBody;
}

const HttpHeaders&
HeadersOf(const Parser<true>& aParser)
{
  return aParser.mRequest.mHeaders;
}

const HttpHeaders&
HeadersOf(const Parser<false>& aParser)
{
  return aParser.mResponse.mHeaders;
}

bool
KeepsLimits(const HttpHeaders& aHeaders, const HttpMessageLimits& aLimits)
{
  return aHeaders.size() <= aLimits.mMaxHeaders &&
         std::ranges::all_of(aHeaders, [&aLimits](const HttpHeader& aHeader) {
           return aHeader.mName.size() + aHeader.mValue.size() <= aLimits.mMaxHeaderBytes;
         });
}

// Parses `aBytes` up to the end of the message or an error, and removes the parsed bytes.
template<bool IsRequest>
MessageReadState
FeedParser(Parser<IsRequest>& aParser, const HttpMessageLimits& aLimits, std::string& aBytes)
{
  const bool hadHead = aParser.is_header_done();
  std::size_t consumed = 0;
  beast::error_code error;
  while (consumed < aBytes.size() && !aParser.is_done()) {
    const std::size_t count = aParser.put(
      boost::asio::const_buffer{ aBytes.data() + consumed, aBytes.size() - consumed }, error);
    consumed += count;
    if (error || count == 0) {
      break;
    }
  }
  aBytes.erase(0, consumed);
  const MessageReadState state = StateAfterParsing(aParser, error);
  // The parser takes the lines of a list header one by one, so that it does not see the codings
  // that another line names.
  if (!hadHead && aParser.is_header_done() &&
      (!KeepsLimits(HeadersOf(aParser), aLimits) || !FramingError(HeadersOf(aParser)).empty())) {
    return MessageReadState::kMalformed;
  }
  // The parser keeps nothing itself: a line that has not ended stays in the buffer.
  if (IsUnfinished(state) && aBytes.size() > aLimits.mMaxHeadBytes) {
    return state == MessageReadState::kHead ? MessageReadState::kHeadTooLarge
                                            : MessageReadState::kFramingTooLarge;
  }
  return state;
}

} // namespace

struct MessageReader::Impl
{
  HttpMessageLimits mLimits;
  bool mHasBody = true;
  std::unique_ptr<Parser<true>> mRequest;
  std::unique_ptr<Parser<false>> mResponse;
  MessageReadState mState = MessageReadState::kHead;
  int mInformationalResponses = 0;

  void StartResponse()
  {
    mResponse = std::make_unique<Parser<false>>();
    SetLimits(*mResponse, mLimits);
    mResponse->skip(!mHasBody);
  }
};

MessageReader::MessageReader(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

MessageReader::MessageReader(MessageReader&&) noexcept = default;
MessageReader&
MessageReader::operator=(MessageReader&&) noexcept = default;
MessageReader::~MessageReader() = default;

MessageReader
MessageReader::ForRequest(HttpMessageLimits aLimits)
{
  auto impl = std::make_unique<Impl>();
  impl->mLimits = aLimits;
  impl->mRequest = std::make_unique<Parser<true>>();
  SetLimits(*impl->mRequest, aLimits);
  return MessageReader{ std::move(impl) };
}

MessageReader
MessageReader::ForResponse(HttpMessageLimits aLimits, bool aHasBody)
{
  auto impl = std::make_unique<Impl>();
  impl->mLimits = aLimits;
  impl->mHasBody = aHasBody;
  impl->StartResponse();
  return MessageReader{ std::move(impl) };
}

MessageReadState
MessageReader::Consume(std::string& aBytes)
{
  Impl& impl = *mImpl;
  if (!IsUnfinished(impl.mState)) {
    return impl.mState;
  }
  if (impl.mState == MessageReadState::kHead && HasFoldedHeader(aBytes)) {
    impl.mState = MessageReadState::kMalformed;
    return impl.mState;
  }
  if (impl.mRequest) {
    impl.mState = FeedParser(*impl.mRequest, impl.mLimits, aBytes);
    return impl.mState;
  }
  impl.mState = FeedParser(*impl.mResponse, impl.mLimits, aBytes);
  while (IsHeadComplete() && impl.mState != MessageReadState::kMalformed &&
         impl.mResponse->mResponse.mStatus < kMinFinalStatus) {
    if (++impl.mInformationalResponses > kMaxInformationalResponses) {
      impl.mState = MessageReadState::kFramingTooLarge;
      break;
    }
    impl.StartResponse();
    if (HasFoldedHeader(aBytes)) {
      impl.mState = MessageReadState::kMalformed;
      break;
    }
    impl.mState = FeedParser(*impl.mResponse, impl.mLimits, aBytes);
  }
  return impl.mState;
}

MessageReadState
MessageReader::ConsumeEof()
{
  Impl& impl = *mImpl;
  if (impl.mState == MessageReadState::kBody && impl.mResponse && impl.mResponse->need_eof()) {
    beast::error_code error;
    impl.mResponse->put_eof(error);
    impl.mState = StateAfterParsing(*impl.mResponse, error);
  }
  return impl.mState;
}

MessageReadState
MessageReader::State() const
{
  return mImpl->mState;
}

bool
MessageReader::IsHeadComplete() const
{
  return mImpl->mRequest ? mImpl->mRequest->is_header_done() : mImpl->mResponse->is_header_done();
}

const HttpRequest&
MessageReader::Request() const
{
  return mImpl->mRequest->mRequest;
}

HttpRequest
MessageReader::TakeRequest()
{
  HttpRequest request = std::move(mImpl->mRequest->mRequest);
  request.mBody = std::move(mImpl->mRequest->mBody);
  return request;
}

const HttpResponse&
MessageReader::Response() const
{
  return mImpl->mResponse->mResponse;
}

std::string&
MessageReader::Body()
{
  return mImpl->mRequest ? mImpl->mRequest->mBody : mImpl->mResponse->mBody;
}

std::size_t
MessageReader::HeldBytes() const
{
  const HttpHeaders& headers =
    mImpl->mRequest ? mImpl->mRequest->mRequest.mHeaders : mImpl->mResponse->mResponse.mHeaders;
  return sizeof(Impl) + sizeof(Parser<true>) + trefoil::HeldBytes(headers) +
         (mImpl->mRequest ? mImpl->mRequest->mBody : mImpl->mResponse->mBody).capacity();
}

bool
MessageReader::KeepsAlive() const
{
  return mImpl->mRequest ? mImpl->mRequest->keep_alive() : mImpl->mResponse->keep_alive();
}

} // namespace trefoil
