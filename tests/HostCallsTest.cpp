#include "platform/HostCalls.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

HttpRequest Call(http::verb aVerb, const std::string& aTarget,
                 const std::string& aBody = {})
{
  HttpRequest out(aVerb, aTarget, 11);
  out.body() = aBody;
  return out;
}

Result<HostAnnouncement> Put(const std::string& aBody)
{
  return ReadHostCall(Call(http::verb::put, "/api/instances/i-1", aBody));
}

const char* const kGood =
  R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
  R"("Slots":2,"State":"draining","ColdLeftMs":1500,"Seq":4,)"
  R"("born":1700000000000})";

struct Fault
{
  const char* mWhat;
  const char* mBody;
};

const Fault kFaults[] = {
  { "no body", "" },
  { "not JSON", "{" },
  { "a list", "[]" },
  { "no service", R"({"Slots":2,"State":"ready","Seq":4})" },
  { "service of another type",
    R"({"Service":7,"Slots":2,"State":"ready","Seq":4})" },
  { "unknown state", R"({"Service":"s","Slots":2,"State":"up","Seq":4})" },
  { "state of another type", R"({"Service":"s","Slots":2,"State":1,"Seq":4})" },
  { "no count", R"({"Service":"s","Slots":2,"State":"ready"})" },
  { "count as text", R"({"Service":"s","Slots":2,"State":"ready","Seq":"4"})" },
  { "negative count", R"({"Service":"s","Slots":2,"State":"ready","Seq":-4})" },
  { "no slots", R"({"Service":"s","Slots":0,"State":"ready","Seq":4})" },
  { "start time as text",
    R"({"Service":"s","Slots":2,"State":"ready","Seq":4,"born":"x"})" },
  { "start time with a fraction",
    R"({"Service":"s","Slots":2,"State":"ready","Seq":4,"born":1.5})" },
};

} // namespace

TEST_GROUP(HostCalls){};

TEST(HostCalls, ReadsAnAnnouncement)
{
  auto read = Put(kGood);
  CHECK_TRUE(read.has_value());
  STRCMP_EQUAL("i-1", read->mId.c_str());
  STRCMP_EQUAL("s", read->mService.c_str());
  CHECK(read->mPhase == HostPhase::Draining);
  CHECK(read->mColdFor == std::chrono::milliseconds(1500));
  CHECK_EQUAL(4, *read->mSequence);
  CHECK_EQUAL(1700000000000, *read->mStartedAt);
  CHECK_EQUAL(2, read->mSlots);
}

TEST(HostCalls, ReadsAFarewell)
{
  auto read = ReadHostCall(Call(http::verb::delete_, "/api/instances/i-1"));
  CHECK(read->mPhase == HostPhase::Gone);
  CHECK_FALSE(read->mStartedAt.has_value());
  read = ReadHostCall(
    Call(http::verb::delete_, "/api/instances/i-1", R"({"born":5})"));
  CHECK_EQUAL(5, *read->mStartedAt);
}

// Entries and calls may come from other writers: fields missing or of another
// type, a state that nobody names. They name no host.
TEST(HostCalls, RefusesWhatNamesNoHost)
{
  for (const Fault& it : kFaults) {
    CHECK_FALSE_TEXT(Put(it.mBody).has_value(), it.mWhat);
  }
  CHECK_FALSE(ReadHostCall(Call(http::verb::get, "/api/instances/i-1", kGood))
                .has_value());
  CHECK_FALSE(
    ReadHostCall(Call(http::verb::put, "/api/instances/", kGood)).has_value());
  CHECK_FALSE(ReadHostCall(Call(http::verb::put, "/other", kGood)).has_value());
}

TEST(HostCalls, AnswersWithTheReason)
{
  auto call = Call(http::verb::put, "/api/instances/i-1", "{}");
  CHECK(AnswerHostCall(call, {}).result() == http::status::ok);
  auto refused = AnswerHostCall(call, tl::unexpected(Put("{}").error()));
  CHECK(refused.result() == http::status::bad_request);
  CHECK_TRUE(refused.body().find("missing") != std::string::npos);
}
