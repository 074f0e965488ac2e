#include <random>

#include "src/wire/SteerCodec.h"
#include "tests/SteerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

const Bytes& State()
{
  static const Bytes kState(40, 7);
  return kState;
}

/** One message of each kind with every field set. */
std::vector<OwnershipMessage> Samples()
{
  FlowKey flow = TestFlow(7);
  Peer from{ MakeHostId("a"), 3, { {}, 4 } };
  Peer owner{ MakeHostId("b"), 5, { {}, 6 } };
  std::vector<ClaimedFlow> flows{ { flow, 8, 2, true },
                                  { TestFlow(8), 9, 3, false } };
  return {
    Ask{ flow, from, 11, AskPurpose::Reconfirm, 12 },
    AskReply{ flow, from, 11, AskVerdict::Asking, owner, 12, 13, true },
    Claim{ from, flows },
    ClaimAck{ from, flows },
    Hint{ flow, MakeHostId("c"), owner, 12, true },
    HandOff{ flow, from, 14, 15, 16, 17, true, State() },
    HandOffAck{ flow, from, 18, 19, true },
  };
}

Result<OwnershipMessage> Decode(const Bytes& aDatagram)
{
  Frame frame = DecodeDatagram(aDatagram).value();
  return DecodeOwnershipMessage(frame.mKind, frame.mPayload);
}

} // namespace

TEST_GROUP(SteerCodec){};

TEST(SteerCodec, EveryKindComesBackAsSent)
{
  for (const OwnershipMessage& it : Samples()) {
    Bytes sent = EncodeOwnershipMessage(it);
    auto got = Decode(sent);
    CHECK_TRUE(got.has_value());
    CHECK_TRUE(IsOwnershipMessage(KindOf(it)));
    CHECK_EQUAL(it.index(), got->index());
    CHECK_TRUE(EncodeOwnershipMessage(*got) == sent);
    CHECK_TRUE(FlowOf(*got) == TestFlow(7));
  }
  CHECK_FALSE(IsOwnershipMessage(MessageKind::Packet));
}

TEST(SteerCodec, RefusesValuesOutOfRange)
{
  std::vector<ClaimedFlow> many(kMaxClaims + 1);
  CHECK_FALSE(Decode(EncodeOwnershipMessage(Claim{ {}, many })).has_value());
  Ask ask;
  ask.mPurpose = static_cast<AskPurpose>(9);
  CHECK_FALSE(Decode(EncodeOwnershipMessage(ask)).has_value());
  AskReply reply;
  reply.mVerdict = static_cast<AskVerdict>(9);
  CHECK_FALSE(Decode(EncodeOwnershipMessage(reply)).has_value());
}

TEST(SteerCodec, AFullClaimFitsADatagram)
{
  std::vector<ClaimedFlow> full(kMaxClaims);
  CHECK_TRUE(EncodeOwnershipMessage(Claim{ {}, full }).size() <= 1400);
}

// Bytes flip on the way, or somebody sends garbage to the tunnel. A decoder
// that trusts offsets would read outside the datagram; each input must come
// out as a message or as a typed error.
TEST(SteerCodec, SurvivesSeededDamage)
{
  std::mt19937_64 rng(42);
  auto samples = Samples();
  int refused = 0;
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = EncodeOwnershipMessage(samples[rng() % samples.size()]);
    std::size_t body = damaged.size() - kDatagramHeaderSize;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[kDatagramHeaderSize + rng() % body] =
        static_cast<std::uint8_t>(rng());
    }
    damaged.resize(damaged.size() - rng() % 20);
    refused += Decode(damaged).has_value() ? 0 : 1;
  }
  CHECK_TRUE(refused > 1000);
}
