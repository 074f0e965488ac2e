#include "platform/PlatformPackets.h"

#include <random>

#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

/** The opening packet in the contract's example. */
const Bytes kSyn = { 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0xc6,
                     0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2,
                     0xc3, 0xd5, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                     0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00 };
/** The reset in the contract's example, the response to kSyn. */
const Bytes kReset = { 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64,
                       0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                       0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                       0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00 };

} // namespace

TEST_GROUP(PlatformPackets)
{
  PlatformPackets mPackets;
};

TEST(PlatformPackets, ParsesTheOpeningPacketOfTheContract)
{
  auto packet = mPackets.Parse(kSyn);
  CHECK_TRUE(packet.has_value());
  STRCMP_EQUAL("100.64.0.7:40001", packet->mSource.ToString().c_str());
  STRCMP_EQUAL("198.18.0.1:443", packet->mDestination.ToString().c_str());
  CHECK_TRUE(packet->mSyn);
  CHECK_FALSE(packet->mAck || packet->mFin || packet->mReset ||
              packet->mReturned);
  CHECK_EQUAL(0x11223344, packet->mSequence);
  CHECK_EQUAL(0, packet->mDataLength);
}

TEST(PlatformPackets, BuildsTheResetOfTheContract)
{
  auto packet = mPackets.Parse(kSyn);
  CHECK_TRUE(mPackets.MakeReset(packet->FlowFromCaller(), 0) == kReset);
}

TEST(PlatformPackets, TagChangesOnlyFieldsOutsideTheChecksum)
{
  Bytes tagged = kSyn;
  tagged[20] |= 32;
  tagged[21] = 9;
  CHECK_TRUE(mPackets.Parse(tagged)->mReturned);
  mPackets.Tag(tagged, 0xdeadbeef);
  CHECK_EQUAL(0xdeadbeef, mPackets.Parse(tagged)->mTag);
  CHECK_FALSE(mPackets.Parse(tagged)->mReturned);
  mPackets.Tag(tagged, 0);
  CHECK_TRUE(tagged == kSyn);
}

TEST(PlatformPackets, RejectsTruncatedAndOverlongDatagrams)
{
  for (std::size_t n = 0; n < kSyn.size(); ++n) {
    CHECK_FALSE(mPackets.Parse(ByteView(kSyn).first(n)).has_value());
  }
  Bytes longer = kSyn;
  longer.push_back(0);
  CHECK_FALSE(mPackets.Parse(longer).has_value());
  longer[27] = 1;
  CHECK_TRUE(mPackets.Parse(longer).has_value());
  Bytes tooLong(36 + 1201);
  tooLong[26] = 1201 >> 8;
  tooLong[27] = 1201 & 255;
  CHECK_FALSE(mPackets.Parse(tooLong).has_value());
}
