#include "platform/HostCalls.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

HttpRequest MakeRequest(http::verb aVerb, const std::string& aTarget,
                        const std::string& aBody = {})
{
  HttpRequest out(aVerb, aTarget, 11);
  out.body() = aBody;
  return out;
}

Result<HostAnnouncement> Put(const std::string& aBody)
{
  return ReadHostCall(
    MakeRequest(http::verb::put, "/api/instances/i-1", aBody));
}

const char* const kValidBody =
  R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
  R"("Slots":2,"State":"draining","ColdLeftMs":1500,"Seq":4,)"
  R"("born":1700000000000})";

struct InvalidBody
{
  const char* mName;
  const char* mBody;
};

const InvalidBody kInvalidBodies[] = {
  { "empty body", "" },
  { "not JSON", "{" },
  { "a JSON array", "[]" },
  { "no service", R"({"Slots":2,"State":"ready","Seq":4})" },
  { "service of the wrong type",
    R"({"Service":7,"Slots":2,"State":"ready","Seq":4})" },
  { "unknown state", R"({"Service":"s","Slots":2,"State":"up","Seq":4})" },
  { "state of the wrong type",
    R"({"Service":"s","Slots":2,"State":1,"Seq":4})" },
  { "no sequence number", R"({"Service":"s","Slots":2,"State":"ready"})" },
  { "sequence number as text",
    R"({"Service":"s","Slots":2,"State":"ready","Seq":"4"})" },
  { "negative sequence number",
    R"({"Service":"s","Slots":2,"State":"ready","Seq":-4})" },
  { "zero slots", R"({"Service":"s","Slots":0,"State":"ready","Seq":4})" },
  { "start time as text",
    R"({"Service":"s","Slots":2,"State":"ready","Seq":4,"born":"x"})" },
  { "start time with a fraction",
    R"({"Service":"s","Slots":2,"State":"ready","Seq":4,"born":1.5})" },
};

} // namespace

TEST_GROUP(HostCalls){};

TEST(HostCalls, ParsesAHeartbeat)
{
  auto read = Put(kValidBody);
  CHECK_TRUE(read.has_value());
  STRCMP_EQUAL("i-1", read->mId.c_str());
  STRCMP_EQUAL("s", read->mService.c_str());
  CHECK(read->mPhase == HostPhase::Draining);
  CHECK(read->mColdRemaining == std::chrono::milliseconds(1500));
  CHECK_EQUAL(4, *read->mSequence);
  CHECK_EQUAL(1700000000000, *read->mStartedAt);
  CHECK_EQUAL(2, read->mSlots);
}

TEST(HostCalls, ParsesADeregistration)
{
  auto read =
    ReadHostCall(MakeRequest(http::verb::delete_, "/api/instances/i-1"));
  CHECK(read->mPhase == HostPhase::Gone);
  CHECK_FALSE(read->mStartedAt.has_value());
  read = ReadHostCall(
    MakeRequest(http::verb::delete_, "/api/instances/i-1", R"({"born":5})"));
  CHECK_EQUAL(5, *read->mStartedAt);
}

// Requests may come from other software, with fields missing or of the wrong
// type, or with an unknown state. They must not register a host.
TEST(HostCalls, RejectsRequestsThatIdentifyNoHost)
{
  for (const InvalidBody& it : kInvalidBodies) {
    CHECK_FALSE_TEXT(Put(it.mBody).has_value(), it.mName);
  }
  CHECK_FALSE(
    ReadHostCall(MakeRequest(http::verb::get, "/api/instances/i-1", kValidBody))
      .has_value());
  CHECK_FALSE(
    ReadHostCall(MakeRequest(http::verb::put, "/api/instances/", kValidBody))
      .has_value());
  CHECK_FALSE(ReadHostCall(MakeRequest(http::verb::put, "/other", kValidBody))
                .has_value());
}

TEST(HostCalls, RejectionStatesTheReason)
{
  auto call = MakeRequest(http::verb::put, "/api/instances/i-1", "{}");
  CHECK(AnswerHostCall(call, {}).result() == http::status::ok);
  auto refused = AnswerHostCall(call, tl::unexpected(Put("{}").error()));
  CHECK(refused.result() == http::status::bad_request);
  CHECK_TRUE(refused.body().find("missing") != std::string::npos);
}
