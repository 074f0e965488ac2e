#include "lab/Content.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank::lab;

TEST_GROUP(LabContent)
{
  ContentSpec mSpec{ "cover-desk", "cover-desk.1.2.1", "", 3000 };
};

TEST(LabContent, TellsWhoseAnswerItIs)
{
  auto body = MakeContent(mSpec);
  CHECK_EQUAL(3000, body.size());
  CHECK_TRUE(CheckContent(body, mSpec) == ContentFault::None);
  ContentSpec other = mSpec;
  other.mRequestId = "cover-desk.1.3.1";
  CHECK_TRUE(CheckContent(body, other) == ContentFault::WrongAnswer);
  other.mService = "doc-archive";
  CHECK_TRUE(CheckContent(body, other) == ContentFault::WrongService);
  body[2000] ^= 1;
  CHECK_TRUE(CheckContent(body, mSpec) == ContentFault::WrongAnswer);
}

TEST(LabContent, TakesTheKeptAnswerOfTheSameKey)
{
  mSpec.mKey = "claim-1";
  auto body = MakeContent(mSpec);
  mSpec.mRequestId = "cover-desk.9.0.2";
  CHECK_TRUE(CheckContent(body, mSpec) == ContentFault::None);
  mSpec.mKey = "claim-2";
  CHECK_TRUE(CheckContent(body, mSpec) == ContentFault::WrongAnswer);
}

TEST(LabContent, PutsPartsTogetherInAnyOrder)
{
  Reassembly parts;
  CHECK_FALSE(parts.Whole());
  CHECK_TRUE(parts.Add("bytes 4-6/9", "efg"));
  CHECK_TRUE(parts.Add("bytes 4-6/9", "efg"));
  CHECK_EQUAL(0, parts.Missing()->first);
  CHECK_EQUAL(3, parts.Missing()->second);
  CHECK_TRUE(parts.Add("bytes 0-3/9", "abcd"));
  CHECK_EQUAL(7, parts.Missing()->first);
  CHECK_EQUAL(8, parts.Missing()->second);
  CHECK_TRUE(parts.Add("bytes 7-8/9", "hi"));
  CHECK_TRUE(parts.Whole());
  STRCMP_EQUAL("abcdefghi", parts.Take().c_str());
}

TEST(LabContent, RefusesPartsThatMakeNoSense)
{
  Reassembly parts;
  CHECK_FALSE(parts.Add("bytes 0-3/9", "abc"));
  CHECK_FALSE(parts.Add("bytes 3-2/9", ""));
  CHECK_FALSE(parts.Add("bytes 8-9/9", "ab"));
  CHECK_FALSE(parts.Add("0-1/9", "ab"));
  CHECK_TRUE(parts.Add("bytes 0-1/9", "ab"));
  CHECK_FALSE(parts.Add("bytes 2-3/8", "cd"));
}
