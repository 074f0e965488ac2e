#include <algorithm>
#include <functional>
#include <random>

#include "src/record/HomeCodec.h"
#include "src/record/KeyCodec.h"
#include "src/wire/MembershipCodec.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

MemberRecord MakeRecord()
{
  MemberRecord record;
  record.mMember.mHost = MakeHostId("host-1");
  record.mMember.mService = MakeServiceId("agenda");
  record.mMember.mDataCentre = MakeDataCentreId("lima-a");
  record.mMember.mIncarnation = 7;
  record.mMember.mState = HostState::Draining;
  record.mMember.mSlots = 2;
  record.mMember.mTunnel.mIp[15] = 4;
  record.mMember.mControl.mPort = 99;
  record.mRevision = 3;
  record.mHeartbeatNumber = 5;
  record.mVerdict = Verdict::Suspect;
  record.mAge = std::chrono::milliseconds(250);
  return record;
}

/** Passes 10000 corrupted copies of a message to a decoder; returns the number
 * that it rejected. */
int CountRejected(const Bytes& aMessage,
                  const std::function<bool(ByteView)>& aDecodes)
{
  std::mt19937_64 rng(42);
  int rejected = 0;
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = aMessage;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[rng() % aMessage.size()] = static_cast<std::uint8_t>(rng());
    }
    damaged.resize(damaged.size() - rng() % 20);
    rejected += aDecodes(damaged) ? 0 : 1;
  }
  return rejected;
}

} // namespace

TEST_GROUP(MembershipCodec){};

TEST(MembershipCodec, RoundTripPreservesEachMessage)
{
  Heartbeat heartbeat{ MemberTableId::Balancers, MakeRecord(), 1, 2, 3 };
  Heartbeat decodedHeartbeat =
    DecodeHeartbeat(EncodePayload(heartbeat)).value();
  CHECK_TRUE(decodedHeartbeat.mRecord == heartbeat.mRecord);
  CHECK_EQUAL(3, decodedHeartbeat.mBalancerDigest);
  MemberDelta delta{ MemberTableId::Hosts, 9, 4, true, { MakeRecord() } };
  MemberDelta decodedDelta = DecodeMemberDelta(EncodePayload(delta)).value();
  CHECK_TRUE(decodedDelta.mRecords == delta.mRecords);
  CHECK_EQUAL(4, decodedDelta.mTree);
  MemberSnapshotRequest request{ MemberTableId::Hosts, { 1 }, { 2 }, { 3 }, 4 };
  auto decodedRequest =
    DecodeMemberSnapshotRequest(EncodePayload(request)).value();
  CHECK_TRUE(decodedRequest.mLast == request.mLast);
  KeyAnswer answer{ 1, { 2 }, "key", { KeyKnowledge::Answered, "yes" } };
  KeyAnswer decodedAnswer = DecodeKeyAnswer(EncodePayload(answer)).value();
  CHECK_TRUE(decodedAnswer.mReply.mAnswer == "yes");
  KeyQuestion question{ 1, { 2 }, "key", 3, 4 };
  CHECK_EQUAL(4, DecodeKeyQuestion(EncodePayload(question))->mIncarnation);
}

// A message is corrupted in transit, or the control port receives random bytes.
// Each input must decode to a message or return a typed error, and no decoded
// record may hold a state, verdict or table that does not exist.
TEST(MembershipCodec, RoundTripPreservesAssignmentsAndPartialSnapshots)
{
  Heartbeat heartbeat{ MemberTableId::Hosts, MakeRecord() };
  heartbeat.mMonitorSource = MonitorSource::Provisional;
  CHECK_TRUE(DecodeHeartbeat(EncodePayload(heartbeat))->mMonitorSource ==
             MonitorSource::Provisional);
  MemberDelta delta;
  delta.mRecords = { MakeRecord(), MakeRecord() };
  delta.mAssignedMonitors = 1;
  delta.mIsProvisional = true;
  auto decoded = DecodeMemberDelta(EncodePayload(delta)).value();
  CHECK_EQUAL(1, decoded.mAssignedMonitors);
  CHECK_TRUE(decoded.mIsProvisional);
  MemberSnapshot snapshot;
  snapshot.mLast = { 9 };
  snapshot.mIsPartial = true;
  CHECK_TRUE(DecodeMemberSnapshot(EncodePayload(snapshot))->mIsPartial);
}

TEST(MembershipCodec, CorruptedMessagesAreDecodedOrRejected)
{
  std::vector<MemberRecord> records(3, MakeRecord());
  auto isValid = [](const MemberRecord& aRecord) {
    return aRecord.mMember.mState <= HostState::Leaving &&
           aRecord.mVerdict <= Verdict::Dead;
  };
  auto decodeHeartbeat = [&](ByteView aBytes) {
    auto decoded = DecodeHeartbeat(aBytes);
    CHECK_TRUE(!decoded || isValid(decoded->mRecord));
    return decoded.has_value();
  };
  auto decodeDelta = [&](ByteView aBytes) {
    auto decoded = DecodeMemberDelta(aBytes);
    CHECK_TRUE(!decoded || std::ranges::all_of(decoded->mRecords, isValid));
    return decoded.has_value();
  };
  auto decodeDigest = [](ByteView aBytes) {
    return !!DecodeMemberDigest(aBytes);
  };
  auto decodeRequest = [](ByteView aBytes) {
    return !!DecodeMemberSnapshotRequest(aBytes);
  };
  auto decodeSnapshot = [](ByteView aBytes) {
    return !!DecodeMemberSnapshot(aBytes);
  };
  auto decodeQuestion = [](ByteView aBytes) {
    return !!DecodeKeyQuestion(aBytes);
  };
  auto decodeAnswer = [](ByteView aBytes) { return !!DecodeKeyAnswer(aBytes); };
  MemberTableId hosts = MemberTableId::Hosts;
  Heartbeat heartbeat{ hosts, MakeRecord(), 1, 2, 3 };
  MemberDigest digest{ hosts, { 1 }, true, 1, { 1, 2, 3, 4 } };
  MemberSnapshotRequest snapshotRequest{ hosts, { 1 }, { 1 }, { 9 }, 5 };
  MemberSnapshot snapshot{ hosts, { 1 }, 1, { 1 }, { 9 }, records };
  CHECK_TRUE(CountRejected(EncodePayload(heartbeat), decodeHeartbeat) > 1000);
  CHECK_TRUE(
    CountRejected(EncodePayload(MemberDelta{ hosts, 1, 2, true, records }),
                  decodeDelta) > 1000);
  CHECK_TRUE(CountRejected(EncodePayload(digest), decodeDigest) > 1000);
  CHECK_TRUE(CountRejected(EncodePayload(snapshotRequest), decodeRequest) >
             1000);
  CHECK_TRUE(CountRejected(EncodePayload(snapshot), decodeSnapshot) > 1000);
  CHECK_TRUE(CountRejected(EncodePayload(KeyQuestion{ 1, { 2 }, "key", 3, 4 }),
                           decodeQuestion) > 1000);
  KeyAnswer keyAnswer{ 1, { 2 }, "key", { KeyKnowledge::Answered, "yes" } };
  CHECK_TRUE(CountRejected(EncodePayload(keyAnswer), decodeAnswer) > 1000);
  Grant grant{ { 1 }, 2, 3, true, "answer" };
  PendingShardWrites writes{
    { 1 }, { { "key", ChangeKind::Answer, grant, 4, std::chrono::seconds(1) } }
  };
  CHECK_TRUE(
    DecodePendingShardWrites(EncodePayload(writes))->mPendingWrites[0].mGrant ==
    grant);
  CHECK_TRUE(CountRejected(EncodePayload(writes), [](ByteView aBytes) {
               return !!DecodePendingShardWrites(aBytes);
             }) > 1000);
  ShardOutcome outcome;
  outcome.mResult = ChangeResult::Taken;
  outcome.mPresent = grant;
  ShardOutcomes outcomes{ { 1 }, { outcome }, {} };
  CHECK_TRUE(
    DecodeShardOutcomes(EncodePayload(outcomes))->mOutcomes[0].mPresent ==
    grant);
  CHECK_TRUE(CountRejected(EncodePayload(outcomes), [](ByteView aBytes) {
               return !!DecodeShardOutcomes(aBytes);
             }) > 1000);
}
