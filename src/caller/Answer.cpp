#include "src/caller/Answer.h"

#include <algorithm>
#include <sstream>

#include <boost/beast/http/write.hpp>

#include "src/net/Http.h"

namespace heatherplank {

namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

boost::beast::string_view View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

HttpResponse MakeHead(const Answer& aAnswer, std::string_view aRequestId,
                      FlowEpoch aEpoch)
{
  HttpResponse head;
  head.version(11);
  head.result(aAnswer.mStatus);
  head.set("Request-Id", View(aRequestId));
  head.set("Outcome", View(ToString(aAnswer.mOutcome)));
  if (aEpoch != 0) {
    head.set("Flow-Epoch", std::to_string(aEpoch));
  }
  if (!aAnswer.mServedBy.empty()) {
    head.set("Served-By", aAnswer.mServedBy);
  }
  if (!aAnswer.mService.empty()) {
    head.set("Service", aAnswer.mService);
  }
  if (!aAnswer.mContentType.empty()) {
    head.set(http::field::content_type, aAnswer.mContentType);
  }
  if (!aAnswer.mReason.empty()) {
    head.set("Refusal-Reason", aAnswer.mReason);
  }
  bool mayRetry = aAnswer.mRetryAfter > Duration::zero();
  if (aAnswer.mOutcome == Outcome::NotRun || mayRetry) {
    auto ms = ceil<milliseconds>(aAnswer.mRetryAfter).count();
    auto s = ceil<seconds>(aAnswer.mRetryAfter).count();
    head.set("Retry-After-Ms", std::to_string(ms));
    head.set(http::field::retry_after, std::to_string(s));
  }
  return head;
}

std::string Serialise(HttpResponse& aMessage)
{
  aMessage.prepare_payload();
  std::ostringstream out;
  out << aMessage;
  return out.str();
}

std::string WriteRange(const Answer& aAnswer, HttpResponse aHead,
                       std::size_t aFirst)
{
  std::size_t total = aAnswer.mBody.size();
  std::size_t end = std::min(total, aFirst + kMaxBodyPerDatagram);
  aHead.result(http::status::partial_content);
  aHead.set(http::field::content_range, "bytes " + std::to_string(aFirst) +
                                          "-" + std::to_string(end - 1) + "/" +
                                          std::to_string(total));
  aHead.body() = aAnswer.mBody.substr(aFirst, end - aFirst);
  return Serialise(aHead);
}

} // namespace

std::string_view ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Run:
      return "run";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

Answer MakeNotRun(unsigned aStatus, std::string_view aReason,
                  Duration aRetryAfter)
{
  Answer answer;
  answer.mStatus = aStatus;
  answer.mOutcome = Outcome::NotRun;
  answer.mReason = aReason;
  answer.mRetryAfter = aRetryAfter;
  return answer;
}

Answer MakeUnknown(std::string_view aReason)
{
  Answer answer;
  answer.mStatus = 504;
  answer.mOutcome = Outcome::Unknown;
  answer.mReason = aReason;
  return answer;
}

Answer MakeUnsure(std::string_view aReason, Duration aRetryAfter)
{
  Answer answer = MakeUnknown(aReason);
  answer.mRetryAfter = aRetryAfter;
  return answer;
}

std::vector<std::string> WriteAnswer(const Answer& aAnswer,
                                     std::string_view aRequestId,
                                     FlowEpoch aEpoch,
                                     const std::optional<ByteRange>& aRange)
{
  HttpResponse head = MakeHead(aAnswer, aRequestId, aEpoch);
  std::size_t total = aAnswer.mBody.size();
  if (total <= kMaxBodyPerDatagram) {
    head.body() = aAnswer.mBody;
    return { Serialise(head) };
  }
  std::size_t first = aRange ? aRange->mFirst : 0;
  std::size_t last = aRange ? std::min(aRange->mLast, total - 1) : total - 1;
  std::vector<std::string> datagrams;
  // Ranges start at multiples of kMaxBodyPerDatagram, so that a range that is
  // requested again has the same bytes.
  first -= first % kMaxBodyPerDatagram;
  for (std::size_t at = first; at <= last; at += kMaxBodyPerDatagram) {
    datagrams.push_back(WriteRange(aAnswer, head, at));
  }
  return datagrams;
}

} // namespace heatherplank
