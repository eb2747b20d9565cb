#include "trefoil/http/message_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <string_view>
#include <utility>

namespace trefoil {
namespace {

namespace beast = boost::beast;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kFirstFinalStatus = 200;

std::string
ToString(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Keeps what the parser of the library reports.
template<bool IsRequest>
class Parser : public beast::http::basic_parser<IsRequest>
{
public:
  HttpRequest mRequest;
  HttpAnswer mAnswer;
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
                        error_code& /*aError*/) override
  {
    mAnswer.mStatus = aCode;
  }
  void on_field_impl(beast::http::field /*aField*/,
                     beast::string_view aName,
                     beast::string_view aValue,
                     error_code& /*aError*/) override
  {
    // Trailers come after the head and are dropped.
    if (!mHeadSeen) {
      auto& headers = IsRequest ? mRequest.mHeaders : mAnswer.mHeaders;
      headers.push_back({ ToString(aName), ToString(aValue) });
    }
  }
  void on_header_impl(error_code& /*aError*/) override { mHeadSeen = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         error_code& /*aError*/) override
  {
  }
  std::size_t on_body_impl(beast::string_view aBytes, error_code& /*aError*/) override
  {
    mBody.append(aBytes.data(), aBytes.size());
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
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }
  void on_finish_impl(error_code& /*aError*/) override {}

  bool mHeadSeen = false;
};

// Returns whether the head continues a header on a further line (RFC 9112, section 5.2).
bool
HasFoldedHeader(std::string_view aBytes)
{
  const std::string_view head = aBytes.substr(0, aBytes.find(kHeadEnd));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

template<bool IsRequest>
void
SetLimits(Parser<IsRequest>& aParser, const MessageLimits& aLimits)
{
  aParser.eager(true);
  aParser.header_limit(static_cast<std::uint32_t>(aLimits.mMaxHeadBytes));
  aParser.body_limit(aLimits.mMaxBodyBytes);
}

// Returns the state after a step of the parser.
template<bool IsRequest>
ReadState
StateOf(const Parser<IsRequest>& aParser, const beast::error_code& aError)
{
  if (aError == beast::http::error::header_limit) {
    return ReadState::kHeadTooLarge;
  }
  if (aError == beast::http::error::body_limit) {
    return ReadState::kBodyTooLarge;
  }
  if (aError && aError != beast::http::error::need_more) {
    return ReadState::kMalformed;
  }
  if (aParser.is_done()) {
    return ReadState::kComplete;
  }
  return aParser.is_header_done() ? ReadState::kBody : ReadState::kHead;
}

template<bool IsRequest>
ReadState
Put(Parser<IsRequest>& aParser, std::string& aBytes)
{
  std::size_t taken = 0;
  beast::error_code error;
  while (taken < aBytes.size() && !aParser.is_done()) {
    const std::size_t count =
      aParser.put(boost::asio::const_buffer{ aBytes.data() + taken, aBytes.size() - taken }, error);
    taken += count;
    if (error || count == 0) {
      break;
    }
  }
  aBytes.erase(0, taken);
  return StateOf(aParser, error);
}

} // namespace

struct MessageReader::Impl
{
  MessageLimits mLimits;
  bool mHasBody = true;
  std::unique_ptr<Parser<true>> mRequest;
  std::unique_ptr<Parser<false>> mAnswer;
  ReadState mState = ReadState::kHead;

  void StartAnswer()
  {
    mAnswer = std::make_unique<Parser<false>>();
    SetLimits(*mAnswer, mLimits);
    mAnswer->skip(!mHasBody);
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
MessageReader::ForRequest(MessageLimits aLimits)
{
  auto impl = std::make_unique<Impl>();
  impl->mLimits = aLimits;
  impl->mRequest = std::make_unique<Parser<true>>();
  SetLimits(*impl->mRequest, aLimits);
  return MessageReader{ std::move(impl) };
}

MessageReader
MessageReader::ForAnswer(MessageLimits aLimits, bool aHasBody)
{
  auto impl = std::make_unique<Impl>();
  impl->mLimits = aLimits;
  impl->mHasBody = aHasBody;
  impl->StartAnswer();
  return MessageReader{ std::move(impl) };
}

ReadState
MessageReader::Consume(std::string& aBytes)
{
  Impl& impl = *mImpl;
  if (impl.mState != ReadState::kHead && impl.mState != ReadState::kBody) {
    return impl.mState;
  }
  if (impl.mState == ReadState::kHead && HasFoldedHeader(aBytes)) {
    impl.mState = ReadState::kMalformed;
    return impl.mState;
  }
  if (impl.mRequest) {
    impl.mState = Put(*impl.mRequest, aBytes);
    return impl.mState;
  }
  impl.mState = Put(*impl.mAnswer, aBytes);
  while (HeadDone() && impl.mAnswer->mAnswer.mStatus < kFirstFinalStatus) {
    impl.StartAnswer();
    impl.mState = Put(*impl.mAnswer, aBytes);
  }
  return impl.mState;
}

ReadState
MessageReader::ConsumeEnd()
{
  Impl& impl = *mImpl;
  if (impl.mState == ReadState::kBody && impl.mAnswer && impl.mAnswer->need_eof()) {
    beast::error_code error;
    impl.mAnswer->put_eof(error);
    impl.mState = StateOf(*impl.mAnswer, error);
  }
  return impl.mState;
}

ReadState
MessageReader::State() const
{
  return mImpl->mState;
}

bool
MessageReader::HeadDone() const
{
  return mImpl->mRequest ? mImpl->mRequest->is_header_done() : mImpl->mAnswer->is_header_done();
}

const HttpRequest&
MessageReader::Request() const
{
  return mImpl->mRequest->mRequest;
}

const HttpAnswer&
MessageReader::Answer() const
{
  return mImpl->mAnswer->mAnswer;
}

std::string&
MessageReader::Body()
{
  return mImpl->mRequest ? mImpl->mRequest->mBody : mImpl->mAnswer->mBody;
}

bool
MessageReader::KeepsAlive() const
{
  return mImpl->mRequest ? mImpl->mRequest->keep_alive() : mImpl->mAnswer->keep_alive();
}

} // namespace trefoil
