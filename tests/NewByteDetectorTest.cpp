#include "src/passthrough/NewByteDetector.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(NewByteDetector)
{
  NewByteDetector mBytes;
};

TEST(NewByteDetector, FirstBytesAreNewAtAnySequenceNumber)
{
  CHECK_TRUE(mBytes.Record(3000000000U, 1));
}

TEST(NewByteDetector, RetransmissionIsNotNew)
{
  CHECK_TRUE(mBytes.Record(100, 50));
  CHECK_FALSE(mBytes.Record(100, 50));
}

TEST(NewByteDetector, ReorderedOlderBytesAreNotNew)
{
  CHECK_TRUE(mBytes.Record(2500, 1200));
  CHECK_FALSE(mBytes.Record(100, 1200));
  CHECK_FALSE(mBytes.Record(1300, 1200));
  CHECK_TRUE(mBytes.Record(3700, 1200));
}

TEST(NewByteDetector, PacketWithRetransmittedAndNewBytesIsNew)
{
  CHECK_TRUE(mBytes.Record(100, 50));
  CHECK_TRUE(mBytes.Record(100, 51));
}

TEST(NewByteDetector, PacketWithoutBytesIsNotNew)
{
  CHECK_FALSE(mBytes.Record(100, 0));
  CHECK_TRUE(mBytes.Record(100, 1));
}

TEST(NewByteDetector, SequenceNumbersWrap)
{
  CHECK_TRUE(mBytes.Record(4294967290U, 6));
  CHECK_TRUE(mBytes.Record(0, 10));
  CHECK_FALSE(mBytes.Record(4294967290U, 6));
}
