#include "src/caller/CallerRequest.h"

#include <charconv>
#include <sstream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "src/net/Http.h"

namespace heatherplank {

namespace {

constexpr std::size_t kMaxHeaderBytes = 8192;
constexpr std::size_t kMaxBodyBytes = 65536;
constexpr std::int64_t kMaxTimeoutMs = 600000;

std::string Text(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

tl::unexpected<Error> MalformedRequest(const std::string& aMessage,
                                       const char* aRemedy)
{
  return Fail(ErrorKind::Malformed, aMessage, aRemedy);
}

template<typename T>
bool ReadNumber(std::string_view aText, T& aOut)
{
  auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aOut);
  return ec == std::errc() && end == aText.data() + aText.size();
}

Result<void> ReadTimeout(const std::string& aText, CallerRequest& aOut)
{
  std::int64_t ms = 0;
  if (!ReadNumber(aText, ms) || ms <= 0 || ms > kMaxTimeoutMs) {
    return MalformedRequest("Request-Timeout-Ms is \"" + aText + "\"",
                            "send an integer of milliseconds from 1 to 600000");
  }
  aOut.mTimeout = std::chrono::milliseconds(ms);
  return {};
}

Result<void> ReadRange(const std::string& aText, CallerRequest& aOut)
{
  constexpr std::string_view kUnit = "bytes=";
  std::string_view text = aText;
  auto dash = text.find('-');
  ByteRange range;
  bool isValid =
    text.starts_with(kUnit) && dash != std::string_view::npos &&
    ReadNumber(text.substr(kUnit.size(), dash - kUnit.size()), range.mFirst) &&
    ReadNumber(text.substr(dash + 1), range.mLast) &&
    range.mFirst <= range.mLast;
  if (!isValid) {
    return MalformedRequest("Range is \"" + aText + "\"",
                            "send bytes=FIRST-LAST");
  }
  aOut.mRange = range;
  return {};
}

Result<void> ReadHeaders(const HttpRequest& aFrom, CallerRequest& aOut)
{
  aOut.mRequestId = Text(aFrom["Request-Id"]);
  if (aOut.mRequestId.empty() || aOut.mRequestId.size() > kMaxRequestId) {
    return MalformedRequest(
      "Request-Id is missing or too long",
      "send a Request-Id of 1 to 128 bytes, unique within the flow");
  }
  aOut.mIdempotencyKey = Text(aFrom["Idempotency-Key"]);
  if (aOut.mIdempotencyKey.size() > kMaxIdempotencyKey) {
    return MalformedRequest("Idempotency-Key is too long",
                            "send at most 200 bytes");
  }
  aOut.mCancel = aFrom["X-Cancel"] == "1";
  if (auto it = aFrom.find("Request-Timeout-Ms"); it != aFrom.end()) {
    auto read = ReadTimeout(Text(it->value()), aOut);
    if (!read) {
      return read;
    }
  }
  if (auto it = aFrom.find(http::field::range); it != aFrom.end()) {
    return ReadRange(Text(it->value()), aOut);
  }
  return {};
}

} // namespace

Result<CallerRequest> ParseCallerRequest(ByteView aDatagram)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(kMaxBodyBytes);
  parser.eager(true);
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(aDatagram.data(), aDatagram.size()), ec);
  if (ec || !parser.is_done()) {
    return MalformedRequest("the datagram is not one complete HTTP/1.1 request",
                            "send one complete message per datagram");
  }
  const HttpRequest& from = parser.get();
  CallerRequest request;
  auto read = ReadHeaders(from, request);
  if (!read) {
    return tl::unexpected(read.error());
  }
  request.mMethod = Text(from.method_string());
  request.mTarget = Text(from.target());
  request.mContentType = Text(from[http::field::content_type]);
  request.mBody = from.body();
  return request;
}

std::string WriteCallerRequest(const CallerRequest& aRequest)
{
  HttpRequest out;
  out.version(11);
  out.method_string(aRequest.mMethod);
  out.target(aRequest.mTarget);
  out.set("Request-Id", aRequest.mRequestId);
  if (!aRequest.mIdempotencyKey.empty()) {
    out.set("Idempotency-Key", aRequest.mIdempotencyKey);
  }
  if (!aRequest.mContentType.empty()) {
    out.set(http::field::content_type, aRequest.mContentType);
  }
  if (aRequest.mTimeout) {
    auto ms =
      std::chrono::ceil<std::chrono::milliseconds>(*aRequest.mTimeout).count();
    out.set("Request-Timeout-Ms", std::to_string(ms));
  }
  if (aRequest.mRange) {
    out.set(http::field::range,
            "bytes=" + std::to_string(aRequest.mRange->mFirst) + "-" +
              std::to_string(aRequest.mRange->mLast));
  }
  if (aRequest.mCancel) {
    out.set("X-Cancel", "1");
  }
  out.body() = aRequest.mBody;
  out.prepare_payload();
  std::ostringstream text;
  text << out;
  return text.str();
}

} // namespace heatherplank
