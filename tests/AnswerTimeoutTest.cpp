#include "src/passthrough/AnswerTimeout.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(AnswerTimeout)
{
  AnswerTimeout mTimeout;

  void Learn(Duration aTook, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mTimeout.Learn(aTook);
    }
  }
};

TEST(AnswerTimeout, IsShortOnAShortPath)
{
  CHECK(mTimeout.Get() == AnswerTimeout::kLeast);
  Learn(3ms, 100);
  CHECK(mTimeout.Get() == AnswerTimeout::kLeast);
}

// Load: a thin link, on which words come after 5 ms or, behind a window of an
// upload, after 45. Neither is a sign of a silent host.
TEST(AnswerTimeout, GrowsWhereWordsWaitBehindUploads)
{
  for (int i = 0; i < 100; ++i) {
    mTimeout.Learn(i % 3 == 0 ? 45ms : 5ms);
  }
  CHECK_TRUE(mTimeout.Get() > 60ms);
}

TEST(AnswerTimeout, ComesBackWhenThePathIsShortAgain)
{
  Learn(90ms, 20);
  CHECK_TRUE(mTimeout.Get() > 90ms);
  Learn(4ms, 60);
  CHECK(mTimeout.Get() == AnswerTimeout::kLeast);
}

// A process that stood still hears a word after seconds. Flows must still be
// offered to another host before their callers repeat.
TEST(AnswerTimeout, IsBoundedBelowTheCallersRepeat)
{
  Learn(5s, 3);
  CHECK(mTimeout.Get() == AnswerTimeout::kMost);
}
