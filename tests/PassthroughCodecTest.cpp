#include "src/wire/PassthroughCodec.h"

#include <random>

#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

SteeredPacket Sample()
{
  SteeredPacket out;
  out.mService = MakeServiceId("s");
  out.mPurpose = SteerPurpose::Search;
  out.mImportance = Importance::High;
  out.mMustTake = true;
  out.mLatencyTarget = 120ms;
  out.mIngress = *ParseAddress("10.0.0.1:7");
  out.mCandidates = { *ParseAddress("10.0.0.2:7"),
                      *ParseAddress("10.0.0.3:7") };
  out.mBest = *ParseAddress("10.0.0.4:7");
  out.mBestWait = 1500us;
  out.mPacket = { 1, 2, 3 };
  return out;
}

} // namespace

TEST_GROUP(PassthroughCodec){};

TEST(PassthroughCodec, KeepsASteeredPacket)
{
  SteeredPacket sent = Sample();
  auto got = DecodeSteeredPacket(EncodePayload(sent));
  CHECK_TRUE(got.has_value());
  CHECK_TRUE(got->mService == sent.mService);
  CHECK_TRUE(got->mPurpose == sent.mPurpose);
  CHECK_TRUE(got->mImportance == sent.mImportance);
  CHECK_TRUE(got->mMustTake);
  CHECK(got->mLatencyTarget == sent.mLatencyTarget);
  CHECK_TRUE(got->mIngress == sent.mIngress);
  CHECK_TRUE(got->mCandidates == sent.mCandidates);
  CHECK_TRUE(got->mBest == sent.mBest);
  CHECK(got->mBestWait == sent.mBestWait);
  CHECK_TRUE(got->mPacket == sent.mPacket);
}

TEST(PassthroughCodec, KeepsReportsNoticesAndDocuments)
{
  PlacementReport report{ { *ParseAddress("1.2.3.4:5"),
                            *ParseAddress("6.7.8.9:10") },
                          MakeHostId("h"),
                          PlacementOutcome::Refused };
  auto gotReport = DecodePlacementReport(EncodePayload(report));
  CHECK_TRUE(gotReport->mFlow == report.mFlow);
  CHECK_TRUE(gotReport->mHost == report.mHost);
  CHECK_TRUE(gotReport->mOutcome == report.mOutcome);
  InventoryNotice notice{
    17, *ParseAddress("1.2.3.4:5"), true, true, 40ms, {}
  };
  auto gotNotice = DecodeInventoryNotice(EncodePayload(notice));
  CHECK_EQUAL(17, gotNotice->mVersion);
  CHECK_TRUE(gotNotice->mControl == notice.mControl);
  CHECK_TRUE(gotNotice->mWantsDocument);
  CHECK_TRUE(gotNotice->mIsBusy);
  CHECK_TRUE(gotNotice->mConfirmedAgo == notice.mConfirmedAgo);
  notice.mConfirmedAgo.reset();
  gotNotice = DecodeInventoryNotice(EncodePayload(notice));
  CHECK_FALSE(gotNotice->mConfirmedAgo.has_value());
  auto gotDocument =
    DecodeInventoryDocument(EncodePayload(InventoryDocument{ 3, { 1, 2 } }));
  CHECK_EQUAL(3, gotDocument->mVersion);
  CHECK_TRUE(gotDocument->mPacked == Bytes({ 1, 2 }));
}

// A damaged or foreign datagram arrives at an open port. It must be refused or
// read as some message, and nothing else may happen.
TEST(PassthroughCodec, SurvivesDamagedBytes)
{
  std::mt19937 random(1);
  Bytes good = EncodePayload(Sample());
  for (int i = 0; i < 10000; ++i) {
    Bytes bad = good;
    for (int flips = 0; flips < 4; ++flips) {
      bad[random() % bad.size()] = static_cast<std::uint8_t>(random());
    }
    bad.resize(random() % (bad.size() + 1));
    DecodeSteeredPacket(bad);
    DecodePlacementReport(bad);
    DecodeInventoryNotice(bad);
    DecodeInventoryDocument(bad);
  }
}

TEST(PassthroughCodec, KeepsDrainsAndColdRates)
{
  SteeredPacket steered = Sample();
  steered.mDrainsVersion = 41;
  steered.mColdRate = 12.5;
  auto got = DecodeSteeredPacket(EncodePayload(steered));
  CHECK_EQUAL(41, got->mDrainsVersion);
  DOUBLES_EQUAL(12.5, got->mColdRate, 0.001);
  InventoryNotice notice;
  notice.mControl = *ParseAddress("10.0.0.1:7");
  notice.mDrains = { 42, { { 5 }, { 9 } } };
  auto heard = DecodeInventoryNotice(EncodePayload(notice));
  CHECK_EQUAL(42, heard->mDrains.mVersion);
  CHECK_TRUE(heard->mDrains.mDataCentres == notice.mDrains.mDataCentres);
  CHECK_EQUAL(43,
              DecodeDrainNotice(EncodePayload(DrainNotice{ 43 }))->mVersion);
}

TEST(PassthroughCodec, RefusesDrainsOutOfOrderAndRatesBelowZero)
{
  InventoryNotice notice;
  notice.mControl = *ParseAddress("10.0.0.1:7");
  notice.mDrains = { 42, { { 9 }, { 5 } } };
  CHECK_FALSE(DecodeInventoryNotice(EncodePayload(notice)).has_value());
  SteeredPacket steered = Sample();
  steered.mColdRate = -1;
  CHECK_FALSE(DecodeSteeredPacket(EncodePayload(steered)).has_value());
}
