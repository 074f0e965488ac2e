#include <random>
#include <string>
#include <vector>

#include "src/caller/CallerRequest.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

Result<CallerRequest> Parse(std::string_view aText)
{
  return ParseCallerRequest(ByteView(
    reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size()));
}

} // namespace

TEST_GROUP(CallerRequest){};

TEST(CallerRequest, ParsesHeadersAndBody)
{
  auto request = Parse("POST /claims HTTP/1.1\r\nRequest-Id: r1\r\n"
                       "Idempotency-Key: k1\r\nRequest-Timeout-Ms: 800\r\n"
                       "Content-Length: 4\r\n\r\nhull")
                   .value();
  STRCMP_EQUAL("POST", request.mMethod.c_str());
  STRCMP_EQUAL("/claims", request.mTarget.c_str());
  STRCMP_EQUAL("k1", request.mIdempotencyKey.c_str());
  STRCMP_EQUAL("hull", request.mBody.c_str());
  CHECK_TRUE(*request.mTimeout == std::chrono::milliseconds(800));
}

TEST(CallerRequest, ParsesAByteRange)
{
  auto request = Parse("GET /d HTTP/1.1\r\nRequest-Id: r\r\n"
                       "Range: bytes=1100-2199\r\n\r\n")
                   .value();
  CHECK_EQUAL(1100, request.mRange->mFirst);
  CHECK_EQUAL(2199, request.mRange->mLast);
}

TEST(CallerRequest, RejectsIncompleteAndInvalidRequests)
{
  const std::string head = "GET / HTTP/1.1\r\nRequest-Id: r\r\n";
  const std::vector<std::string> bad{
    "",
    "GET",
    "GET / HTTP/1.1\r\n\r\n",
    head + "Content-Length: 9\r\n\r\nx",
    head + "Range: bytes=9-1\r\n\r\n",
    head + "Request-Timeout-Ms: 0\r\n\r\n",
    head + "Request-Timeout-Ms: 1x\r\n\r\n",
  };
  for (const auto& text : bad) {
    auto request = Parse(text);
    CHECK_FALSE(request.has_value());
    CHECK_FALSE(request.error().mRemedy.empty());
  }
}

// A datagram is damaged in transit or malicious: parsing returns a request or a
// typed error and never crashes.
TEST(CallerRequest, ParsesDamagedDatagramsWithoutCrashing)
{
  std::mt19937_64 rng(7);
  const std::string whole =
    "POST /claims HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: k1\r\n"
    "Range: bytes=0-9\r\nContent-Length: 4\r\n\r\nhull";
  for (int i = 0; i < 10000; ++i) {
    std::string damaged = whole.substr(0, rng() % (whole.size() + 1));
    for (int flips = 0; flips < 3 && !damaged.empty(); ++flips) {
      damaged[rng() % damaged.size()] = static_cast<char>(rng());
    }
    (void)Parse(damaged);
  }
}
