#include "src/agent/BackendClient.h"

#include <charconv>

#include "src/net/HttpClient.h"

namespace heatherplank {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Used when a backend server sheds load without a valid Retry-After. */
constexpr auto kDefaultRetryAfter = std::chrono::seconds(1);
constexpr int kMaxRetryAfterSeconds = 300;

std::string ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/** Milliseconds since the Unix epoch. The backend server reads the same clock,
 * since it runs on the same VM. */
std::string FormatDeadline(Duration aTimeout)
{
  auto deadline = std::chrono::system_clock::now() + aTimeout;
  return std::to_string(
    duration_cast<milliseconds>(deadline.time_since_epoch()).count());
}

HttpRequest MakeRequest(const CallerRequest& aFrom, Duration aTimeout)
{
  HttpRequest request;
  request.version(11);
  request.method_string(aFrom.mMethod);
  request.target(aFrom.mTarget);
  request.set(http::field::host, "backend");
  request.set("Request-Id", aFrom.mRequestId);
  if (!aFrom.mIdempotencyKey.empty()) {
    request.set("Idempotency-Key", aFrom.mIdempotencyKey);
  }
  if (!aFrom.mContentType.empty()) {
    request.set(http::field::content_type, aFrom.mContentType);
  }
  request.set("Request-Deadline", FormatDeadline(aTimeout));
  request.body() = aFrom.mBody;
  return request;
}

Duration ReadRetryAfter(const HttpResponse& aResponse)
{
  std::string text = ToString(aResponse[http::field::retry_after]);
  int seconds = 0;
  auto [end, ec] =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  bool valid =
    ec == std::errc() && seconds > 0 && seconds <= kMaxRetryAfterSeconds;
  return valid ? Duration(std::chrono::seconds(seconds))
               : Duration(kDefaultRetryAfter);
}

BackendAnswer FromResponse(const HttpResponse& aResponse)
{
  if (aResponse["Outcome"] == "not-run") {
    return { BackendResult::Refused,
             MakeNotRun(503, "backend_shed", ReadRetryAfter(aResponse)) };
  }
  BackendAnswer out;
  out.mResult = BackendResult::Answered;
  out.mAnswer.mStatus = aResponse.result_int();
  out.mAnswer.mContentType = ToString(aResponse[http::field::content_type]);
  out.mAnswer.mBody = aResponse.body();
  return out;
}

BackendAnswer FromError(const Error& aError)
{
  if (aError.mKind == ErrorKind::Unavailable) {
    return { BackendResult::NotSent,
             MakeNotRun(503, "backend_unreachable", kDefaultRetryAfter) };
  }
  return { BackendResult::Lost, MakeUnknown("backend_lost") };
}

} // namespace

BackendClient::BackendClient(const boost::asio::any_io_executor& aExecutor,
                             const Address& aBackend, std::size_t aConnections)
  : mClient(HttpClient::Make(aExecutor, aBackend, aConnections))
{
}

BackendClient::~BackendClient() = default;

BackendClient::Ticket BackendClient::Send(const CallerRequest& aRequest,
                                          Duration aTimeout, Done aDone)
{
  return mClient->Send(
    MakeRequest(aRequest, aTimeout), aTimeout,
    [done = std::move(aDone)](const Result<HttpResponse>& aResult) {
      done(aResult ? FromResponse(*aResult) : FromError(aResult.error()));
    });
}

void BackendClient::Cancel(Ticket aTicket)
{
  mClient->Cancel(aTicket);
}

} // namespace heatherplank
