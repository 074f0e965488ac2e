#include "lab/Flow.h"

#include <charconv>
#include <sstream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
using boost::system::error_code;
using Udp = asio::ip::udp;

namespace {

constexpr std::size_t kMaxDatagram = 65536;
constexpr auto kFirstRepeat = std::chrono::milliseconds(250);
/** A missing part of an answer is requested after this long without a part. */
constexpr auto kPartRepeat = std::chrono::milliseconds(30);

std::string_view View(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<HttpResponse> ParseResponse(std::string_view aDatagram)
{
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  error_code ec;
  parser.put(asio::buffer(aDatagram.data(), aDatagram.size()), ec);
  if (ec || !parser.is_done()) {
    return std::nullopt;
  }
  return parser.release();
}

/** Returns the Retry-After of a refusal, if it has one. */
std::optional<Duration> ReadRetryAfter(const HttpResponse& aResponse)
{
  auto text = View(aResponse["Retry-After-Ms"]);
  std::uint64_t number = 0;
  auto [end, ec] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || text.empty()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(number);
}

} // namespace

struct Flow::Pending
{
  explicit Pending(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  RequestRecord* mRecord = nullptr;
  Done mDone;
  asio::steady_timer mTimer;
  std::string mId;
  std::size_t mSequence = 0;
  std::size_t mAttempt = 0;
  Time mDeadline;
  Duration mRepeat{};
  Time mNextRepeat;
  Reassembly mParts;
  /** Waiting for the Retry-After to pass; no attempt is in flight. */
  bool mResting = false;
};

std::shared_ptr<Flow> Flow::Make(
  const asio::any_io_executor& aExecutor, const Address& aService,
  const LoadSpec& aLoad, Duration aGrace,
  const std::function<bool(std::uint16_t)>& aTaken, CallerRecord* aRecord)
{
  std::shared_ptr<Flow> flow(
    new Flow(aExecutor, aService, aLoad, aGrace, aRecord));
  flow->Bind(aTaken);
  flow->Receive();
  return flow;
}

Flow::Flow(const asio::any_io_executor& aExecutor, const Address& aService,
           const LoadSpec& aLoad, Duration aGrace, CallerRecord* aRecord)
  : mExecutor(aExecutor)
  , mSocket(aExecutor)
  , mService(ToEndpoint<Udp>(aService))
  , mBuffer(kMaxDatagram, '\0')
  , mLoad(aLoad)
  , mGrace(aGrace)
  , mRecord(aRecord)
  , mNumber(aRecord->mFlows.size())
  , mPrefix(aLoad.mService + "." + std::to_string(mNumber) + ".")
{
  FlowRecord record;
  record.mLoad = &aLoad;
  record.mPolicy = aRecord->mPolicy;
  mRecord->mFlows.push_back(record);
}

/** Guards against: a flow binds a port reserved for a process that is down, and
 * the process can't start again. */
void Flow::Bind(const std::function<bool(std::uint16_t)>& aTaken)
{
  Udp::endpoint any(asio::ip::address_v4::loopback(), 0);
  do {
    if (mSocket.is_open()) {
      mSocket.close();
    }
    mSocket.open(any.protocol());
    mSocket.bind(any);
  } while (aTaken(mSocket.local_endpoint().port()));
}

void Flow::Receive()
{
  mSocket.async_receive_from(
    asio::buffer(mBuffer), mFrom,
    [weak = weak_from_this()](error_code aEc, std::size_t aSize) {
      auto self = weak.lock();
      if (!self || aEc == asio::error::operation_aborted) {
        return;
      }
      if (!aEc) {
        self->OnDatagram(std::string_view(self->mBuffer).substr(0, aSize));
      }
      self->Receive();
    });
}

void Flow::Submit(const std::string& aKey, Done aDone)
{
  RequestRecord record;
  record.mLoad = &mLoad;
  record.mFlow = mNumber;
  record.mKey = aKey;
  record.mPolicy = mRecord->mPolicy;
  record.mStart = std::chrono::steady_clock::now();
  mRecord->mRequests.push_back(record);
  ++mRecord->mOpen;
  auto pending = std::make_shared<Pending>(mExecutor);
  pending->mRecord = &mRecord->mRequests.back();
  pending->mDone = std::move(aDone);
  pending->mSequence = mSubmitted++;
  pending->mDeadline = record.mStart + mLoad.mTimeout;
  BeginAttempt(pending);
}

void Flow::BeginAttempt(const std::shared_ptr<Pending>& aPending)
{
  ++aPending->mAttempt;
  aPending->mResting = false;
  aPending->mParts = {};
  aPending->mRepeat = kFirstRepeat;
  aPending->mId = mPrefix + std::to_string(aPending->mSequence) + "." +
                  std::to_string(aPending->mAttempt);
  aPending->mRecord->mLastId = aPending->mId;
  mPending[aPending->mId] = aPending;
  Send(*aPending);
  aPending->mNextRepeat = std::chrono::steady_clock::now() + kFirstRepeat;
  Arm(aPending, aPending->mNextRepeat);
}

void Flow::Send(Pending& aPending)
{
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aPending.mDeadline - std::chrono::steady_clock::now());
  char mark = mLoad.mPath.find('?') == std::string::npos ? '?' : '&';
  HttpRequest request(
    http::string_to_verb(mLoad.mMethod),
    mLoad.mPath + mark + "bytes=" + std::to_string(mLoad.mAnswerBytes), 11);
  request.set(http::field::host, mLoad.mService);
  request.set("Request-Id", aPending.mId);
  request.set("Request-Timeout-Ms",
              std::to_string(std::max<std::int64_t>(left.count(), 1)));
  if (!aPending.mRecord->mKey.empty()) {
    request.set("Idempotency-Key", aPending.mRecord->mKey);
  }
  if (auto missing = aPending.mParts.Missing()) {
    request.set(http::field::range, "bytes=" + std::to_string(missing->first) +
                                      "-" + std::to_string(missing->second));
  }
  request.body() = std::string(mLoad.mBodyBytes, 'b');
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  error_code ec;
  mSocket.send_to(asio::buffer(text.str()), mService, 0, ec);
}

void Flow::Arm(const std::shared_ptr<Pending>& aPending, Time aAt)
{
  aPending->mTimer.expires_at(std::min(aAt, aPending->mDeadline + mGrace));
  aPending->mTimer.async_wait(
    [self = shared_from_this(), aPending](error_code aEc) {
      if (!aEc) {
        self->OnTimer(aPending);
      }
    });
}

void Flow::OnTimer(const std::shared_ptr<Pending>& aPending)
{
  auto now = std::chrono::steady_clock::now();
  if (now >= aPending->mDeadline + mGrace) {
    Finish(aPending, FinalAnswer::None);
    return;
  }
  if (aPending->mResting) {
    BeginAttempt(aPending);
    return;
  }
  if (aPending->mParts.Missing()) {
    ++mRecord->mRetries["missing-range"];
    Send(*aPending);
    Arm(aPending, now + kPartRepeat * 2);
    return;
  }
  ++mRecord->mRetries["no-answer"];
  Send(*aPending);
  aPending->mRepeat *= 2;
  // One retransmission after the deadline: an answer that the fabric dropped
  // just before it must not count as lost by the balancers.
  auto last = aPending->mDeadline + mGrace / 2;
  auto next = now + aPending->mRepeat;
  Arm(aPending, now < last ? std::min(next, last) : next);
}

void Flow::OnDatagram(std::string_view aDatagram)
{
  auto response = ParseResponse(aDatagram);
  if (!response) {
    ++mRecord->mForeignAnswers;
    return;
  }
  auto id = View((*response)["Request-Id"]);
  if (!id.starts_with(mPrefix)) {
    ++mRecord->mForeignAnswers;
    return;
  }
  NoteEpoch(*response);
  auto found = mPending.find(id);
  if (found != mPending.end()) {
    OnAnswer(std::shared_ptr(found->second), std::move(*response));
  }
}

void Flow::NoteEpoch(const HttpResponse& aResponse)
{
  auto epoch = View(aResponse["Flow-Epoch"]);
  auto& record = mRecord->mFlows[mNumber];
  if (epoch.empty() || epoch == "0") {
    return;
  }
  if (record.mEstablished && !record.mEpoch.empty() && record.mEpoch != epoch) {
    Break("epoch " + record.mEpoch + " became " + std::string(epoch));
  }
  record.mEpoch = std::string(epoch);
}

void Flow::Break(std::string_view aWhy)
{
  auto& record = mRecord->mFlows[mNumber];
  if (!record.mBroken) {
    record.mBroken = true;
    record.mWhy = std::string(aWhy);
  }
}

void Flow::OnAnswer(const std::shared_ptr<Pending>& aPending,
                    HttpResponse aResponse)
{
  if (aResponse.result() == http::status::accepted) {
    aPending->mRecord->mAccepted = true;
    return;
  }
  if (aResponse.result() == http::status::partial_content &&
      !TakePart(aPending, aResponse)) {
    return;
  }
  auto outcome = View(aResponse["Outcome"]);
  if (outcome == "run") {
    OnRun(aPending, aResponse.body(), aResponse);
  } else if (outcome == "not-run") {
    OnNotRun(aPending, aResponse);
  } else if (outcome == "unknown") {
    ++mRecord->mRefusals[std::string(aResponse["Refusal-Reason"])];
    aPending->mRecord->mReason = std::string(aResponse["Refusal-Reason"]);
    Finish(aPending, FinalAnswer::Unknown);
  } else {
    aPending->mRecord->mWrongAnswer = true;
  }
}

/** Returns true if the answer is complete; aResponse then has its body. */
bool Flow::TakePart(const std::shared_ptr<Pending>& aPending,
                    HttpResponse& aResponse)
{
  if (!aPending->mParts.Add(View(aResponse[http::field::content_range]),
                            aResponse.body())) {
    aPending->mRecord->mWrongAnswer = true;
    return false;
  }
  if (!aPending->mParts.Whole()) {
    Arm(aPending, std::chrono::steady_clock::now() + kPartRepeat);
    return false;
  }
  aResponse.body() = aPending->mParts.Take();
  return true;
}

void Flow::OnRun(const std::shared_ptr<Pending>& aPending,
                 std::string_view aBody, const HttpResponse& aResponse)
{
  auto& record = *aPending->mRecord;
  ContentSpec asked{ mLoad.mService, aPending->mId, record.mKey,
                     mLoad.mAnswerBytes };
  auto fault = CheckContent(aBody, asked);
  record.mWrongService |= fault == ContentFault::WrongService ||
                          View(aResponse["Service"]) != mLoad.mService;
  record.mWrongAnswer |= fault == ContentFault::WrongAnswer;
  mRecord->mFlows[mNumber].mEstablished = true;
  Finish(aPending, FinalAnswer::Run);
}

void Flow::OnNotRun(const std::shared_ptr<Pending>& aPending,
                    const HttpResponse& aResponse)
{
  std::string reason(aResponse["Refusal-Reason"]);
  ++mRecord->mRefusals[reason];
  aPending->mRecord->mReason = reason;
  auto wait = ReadRetryAfter(aResponse);
  if (!wait) {
    ++mRecord->mNoRetryAfter;
  }
  auto back = std::chrono::steady_clock::now() + wait.value_or(kFirstRepeat);
  if (aPending->mAttempt >= mLoad.mTries || back >= aPending->mDeadline) {
    Finish(aPending, FinalAnswer::NotRun);
    return;
  }
  ++mRecord->mRetries[reason];
  mPending.erase(aPending->mId);
  aPending->mResting = true;
  Arm(aPending, back);
}

void Flow::Finish(const std::shared_ptr<Pending>& aPending, FinalAnswer aFinal)
{
  aPending->mTimer.cancel();
  mPending.erase(aPending->mId);
  auto& record = *aPending->mRecord;
  record.mFinal = aFinal;
  record.mEnd = std::chrono::steady_clock::now();
  if (aFinal == FinalAnswer::None && mRecord->mFlows[mNumber].mEstablished) {
    Break("no answer to " + aPending->mId);
  }
  --mRecord->mOpen;
  aPending->mDone(record);
}

} // namespace heatherplank::lab
