#include <algorithm>
#include <functional>
#include <random>

#include "src/wire/HomeCodec.h"
#include "src/wire/KeyCodec.h"
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
  record.mBeat = 5;
  record.mVerdict = Verdict::Suspect;
  record.mAge = std::chrono::milliseconds(250);
  return record;
}

/** Plays seeded damage into a decoder; gives how many inputs it refused. */
int Damage(const Bytes& aWhole, const std::function<bool(ByteView)>& aDecodes)
{
  std::mt19937_64 rng(42);
  int refused = 0;
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = aWhole;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[rng() % aWhole.size()] = static_cast<std::uint8_t>(rng());
    }
    damaged.resize(damaged.size() - rng() % 20);
    refused += aDecodes(damaged) ? 0 : 1;
  }
  return refused;
}

} // namespace

TEST_GROUP(MembershipCodec){};

TEST(MembershipCodec, ComesBackAsSent)
{
  Heartbeat beat{ MemberTableId::Balancers, MakeRecord(), 1, 2, 3 };
  Heartbeat gotBeat = DecodeHeartbeat(EncodePayload(beat)).value();
  CHECK_TRUE(gotBeat.mRecord == beat.mRecord);
  CHECK_EQUAL(3, gotBeat.mBalancerDigest);
  MemberDelta delta{ MemberTableId::Hosts, 9, 4, true, { MakeRecord() } };
  MemberDelta gotDelta = DecodeMemberDelta(EncodePayload(delta)).value();
  CHECK_TRUE(gotDelta.mRecords == delta.mRecords);
  CHECK_EQUAL(4, gotDelta.mTree);
  MemberSnapshotRequest request{ MemberTableId::Hosts, { 1 }, { 2 }, { 3 }, 4 };
  auto gotRequest = DecodeMemberSnapshotRequest(EncodePayload(request)).value();
  CHECK_TRUE(gotRequest.mLast == request.mLast);
  KeyAnswer answer{ 1, { 2 }, "key", { KeyKnowledge::Answered, "yes" } };
  KeyAnswer gotAnswer = DecodeKeyAnswer(EncodePayload(answer)).value();
  CHECK_TRUE(gotAnswer.mReply.mAnswer == "yes");
  KeyQuestion question{ 1, { 2 }, "key", 3, 4 };
  CHECK_EQUAL(4, DecodeKeyQuestion(EncodePayload(question))->mIncarnation);
}

// Bytes flip on the way, or somebody sends garbage to the control port. Each
// input must come out as a message or as a typed error, and no record may hold
// a state, verdict or table that does not exist.
TEST(MembershipCodec, SurvivesSeededDamage)
{
  std::vector<MemberRecord> three(3, MakeRecord());
  auto possible = [](const MemberRecord& aRecord) {
    return aRecord.mMember.mState <= HostState::Leaving &&
           aRecord.mVerdict <= Verdict::Dead;
  };
  auto heartbeat = [&](ByteView aBytes) {
    auto got = DecodeHeartbeat(aBytes);
    CHECK_TRUE(!got || possible(got->mRecord));
    return got.has_value();
  };
  auto delta = [&](ByteView aBytes) {
    auto got = DecodeMemberDelta(aBytes);
    CHECK_TRUE(!got || std::ranges::all_of(got->mRecords, possible));
    return got.has_value();
  };
  auto digest = [](ByteView aBytes) { return !!DecodeMemberDigest(aBytes); };
  auto request = [](ByteView aBytes) {
    return !!DecodeMemberSnapshotRequest(aBytes);
  };
  auto snapshot = [](ByteView aBytes) {
    return !!DecodeMemberSnapshot(aBytes);
  };
  auto question = [](ByteView aBytes) { return !!DecodeKeyQuestion(aBytes); };
  auto answer = [](ByteView aBytes) { return !!DecodeKeyAnswer(aBytes); };
  MemberTableId hosts = MemberTableId::Hosts;
  Heartbeat beat{ hosts, MakeRecord(), 1, 2, 3 };
  MemberDigest digests{ hosts, { 1 }, true, 1, { 1, 2, 3, 4 } };
  MemberSnapshotRequest asked{ hosts, { 1 }, { 1 }, { 9 }, 5 };
  MemberSnapshot part{ hosts, { 1 }, 1, { 1 }, { 9 }, three };
  CHECK_TRUE(Damage(EncodePayload(beat), heartbeat) > 1000);
  CHECK_TRUE(Damage(EncodePayload(MemberDelta{ hosts, 1, 2, true, three }),
                    delta) > 1000);
  CHECK_TRUE(Damage(EncodePayload(digests), digest) > 1000);
  CHECK_TRUE(Damage(EncodePayload(asked), request) > 1000);
  CHECK_TRUE(Damage(EncodePayload(part), snapshot) > 1000);
  CHECK_TRUE(Damage(EncodePayload(KeyQuestion{ 1, { 2 }, "key", 3, 4 }),
                    question) > 1000);
  KeyAnswer said{ 1, { 2 }, "key", { KeyKnowledge::Answered, "yes" } };
  CHECK_TRUE(Damage(EncodePayload(said), answer) > 1000);
  Grant grant{ { 1 }, 2, 3, true, "answer" };
  ShardWishes wishes{
    { 1 }, { { "key", ChangeKind::Answer, grant, 4, std::chrono::seconds(1) } }
  };
  CHECK_TRUE(DecodeShardWishes(EncodePayload(wishes))->mWishes[0].mGrant ==
             grant);
  CHECK_TRUE(Damage(EncodePayload(wishes), [](ByteView aBytes) {
               return !!DecodeShardWishes(aBytes);
             }) > 1000);
  ShardOutcome outcome;
  outcome.mResult = ChangeResult::Taken;
  outcome.mPresent = grant;
  ShardOutcomes outcomes{ { 1 }, { outcome }, {} };
  CHECK_TRUE(
    DecodeShardOutcomes(EncodePayload(outcomes))->mOutcomes[0].mPresent ==
    grant);
  CHECK_TRUE(Damage(EncodePayload(outcomes), [](ByteView aBytes) {
               return !!DecodeShardOutcomes(aBytes);
             }) > 1000);
}
