#include "src/store/SyncObjectStore.h"
#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(SyncObjectStore)
{
  FakeObjectStore mStore;
  int mPauses = 0;

  SyncObjectStore::Options Options()
  {
    SyncObjectStore::Options options;
    options.mPause = [this](Duration) { ++mPauses; };
    return options;
  }
};

// Guards against a read reported as a possible change (exit code 5): when the
// platform hangs, the timeout of a read was handled like that of a write.
TEST(SyncObjectStore, ReadTimeoutReportsThatNothingWasChanged)
{
  SyncObjectStore calls(mStore, Options());
  mStore.mLosesReads = true;
  auto read = calls.Get("config/head");
  CHECK_TRUE(read.error().mKind == ErrorKind::Unavailable);
  STRCMP_CONTAINS("nothing was changed", read.error().mRemedy.c_str());
  CHECK_EQUAL(5, mPauses);
}

TEST(SyncObjectStore, WriteTimeoutIsNotRetried)
{
  SyncObjectStore calls(mStore, Options());
  mStore.mOnWrite = [](const std::string&) { return WriteFault::LostAnswer; };
  auto written = calls.Put("k", "v", WriteCondition::Always());
  CHECK_TRUE(written.error().mKind == ErrorKind::Timeout);
  CHECK_EQUAL(0, mPauses);
}
