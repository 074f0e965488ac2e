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

TEST(SteerCodec, RoundTripPreservesEveryKind)
{
  for (const OwnershipMessage& it : Samples()) {
    Bytes sent = EncodeOwnershipMessage(it);
    auto decoded = Decode(sent);
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(IsOwnershipMessage(KindOf(it)));
    CHECK_EQUAL(it.index(), decoded->index());
    CHECK_TRUE(EncodeOwnershipMessage(*decoded) == sent);
    CHECK_TRUE(FlowOf(*decoded) == TestFlow(7));
  }
  CHECK_FALSE(IsOwnershipMessage(MessageKind::Packet));
}

TEST(SteerCodec, RejectsValuesOutOfRange)
{
  std::vector<ClaimedFlow> tooMany(kMaxFlowsPerClaim + 1);
  CHECK_FALSE(Decode(EncodeOwnershipMessage(Claim{ {}, tooMany })).has_value());
  Ask ask;
  ask.mPurpose = static_cast<AskPurpose>(9);
  CHECK_FALSE(Decode(EncodeOwnershipMessage(ask)).has_value());
  AskReply reply;
  reply.mVerdict = static_cast<AskVerdict>(9);
  CHECK_FALSE(Decode(EncodeOwnershipMessage(reply)).has_value());
}

TEST(SteerCodec, ClaimWithMaxFlowsFitsInADatagram)
{
  std::vector<ClaimedFlow> full(kMaxFlowsPerClaim);
  CHECK_TRUE(EncodeOwnershipMessage(Claim{ {}, full }).size() <= 1400);
}

// A datagram is corrupted in transit, or the tunnel receives random bytes. A
// decoder that trusts offsets would read outside the datagram. Each input must
// decode to a message or return a typed error.
TEST(SteerCodec, CorruptedMessagesAreDecodedOrRejected)
{
  std::mt19937_64 rng(42);
  auto samples = Samples();
  int rejected = 0;
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = EncodeOwnershipMessage(samples[rng() % samples.size()]);
    std::size_t body = damaged.size() - kDatagramHeaderSize;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[kDatagramHeaderSize + rng() % body] =
        static_cast<std::uint8_t>(rng());
    }
    damaged.resize(damaged.size() - rng() % 20);
    rejected += Decode(damaged).has_value() ? 0 : 1;
  }
  CHECK_TRUE(rejected > 1000);
}
