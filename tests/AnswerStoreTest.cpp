#include "src/agent/AnswerStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

FlowKey MakeFlow(std::uint16_t aPort)
{
  FlowKey flow;
  flow.mCaller.mPort = aPort;
  return flow;
}

Answer MakeBody(std::size_t aSize)
{
  Answer answer;
  for (std::size_t i = 0; i < aSize; ++i) {
    answer.mBody += static_cast<char>('a' + i % 26);
  }
  return answer;
}

} // namespace

TEST_GROUP(AnswerStore)
{
  ManualClock mClock;
  AnswerStore mStore{ 10000 };
  FlowKey mFlow = MakeFlow(1);
};

// A caller retransmits a request because the answer was lost. The request must
// not run again: it gets the retained answer, or that of the run in progress.
TEST(AnswerStore, DetectsRepeatedRequestOfTheSameFlow)
{
  CHECK_TRUE(mStore.Begin(mFlow, "r") == RequestState::New);
  CHECK_TRUE(mStore.Begin(mFlow, "r") == RequestState::InProgress);
  mStore.Finish(mFlow, "r", MakeBody(3), mClock.Now());
  CHECK_TRUE(mStore.Begin(mFlow, "r") == RequestState::Answered);
  CHECK_TRUE(mStore.Begin(MakeFlow(2), "r") == RequestState::New);
  STRCMP_EQUAL("abc", mStore.Find(mFlow, "r")->mBody.c_str());
}

TEST(AnswerStore, ExpiresAnswerAfterRetention)
{
  mStore.Finish(mFlow, "r", MakeBody(3), mClock.Now());
  mClock.Advance(AnswerStore::kRetention - std::chrono::milliseconds(1));
  mStore.Expire(mClock.Now());
  CHECK_TRUE(mStore.Find(mFlow, "r") != nullptr);
  mClock.Advance(std::chrono::milliseconds(1));
  mStore.Expire(mClock.Now());
  CHECK_TRUE(mStore.Find(mFlow, "r") == nullptr);
  CHECK_EQUAL(0, mStore.RetainedBytes());
}

TEST(AnswerStore, EvictsOldestAnswersButNoRequestInProgress)
{
  (void)mStore.Begin(mFlow, "running");
  for (int i = 0; i < 100; ++i) {
    mStore.Finish(mFlow, std::to_string(i), MakeBody(1000), mClock.Now());
  }
  CHECK_TRUE(mStore.RetainedBytes() <= 10000);
  CHECK_TRUE(mStore.Find(mFlow, "0") == nullptr);
  CHECK_TRUE(mStore.Find(mFlow, "99") != nullptr);
  CHECK_TRUE(mStore.Begin(mFlow, "running") == RequestState::InProgress);
}

// Guards against a request that runs twice when a host drains: the flow's next
// owner must answer a repeated request with the retained answer.
TEST(AnswerStore, ImportRestoresExportedAnswers)
{
  Answer refusal = MakeNotRun(503, "queue_full", std::chrono::seconds(2));
  mStore.Finish(mFlow, "a", MakeBody(5), mClock.Now());
  mStore.Finish(mFlow, "b", refusal, mClock.Now());
  AnswerStore next{ 10000 };
  CHECK_TRUE(next.Import(mFlow, mStore.Export(mFlow), mClock.Now()));
  STRCMP_EQUAL("abcde", next.Find(mFlow, "a")->mBody.c_str());
  CHECK_TRUE(next.Find(mFlow, "b")->mRetryAfter == std::chrono::seconds(2));
  CHECK_FALSE(next.Import(mFlow, Bytes(16, 0xee), mClock.Now()));
}

TEST(AnswerStore, SplitsLargeAnswerIntoStableRanges)
{
  Answer answer = MakeBody(3000);
  auto all = WriteAnswer(answer, "r", 9, {});
  CHECK_EQUAL(3, all.size());
  auto again = WriteAnswer(answer, "r", 9, ByteRange{ 1100, 2199 });
  CHECK_EQUAL(1, again.size());
  CHECK_TRUE(again[0] == all[1]);
  CHECK_TRUE(all[2].find("Content-Range: bytes 2200-2999/3000") !=
             std::string::npos);
}
