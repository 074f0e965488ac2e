#include <random>

#include "src/wire/PacketCodec.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

Packet MakePacket(ByteView aPayload)
{
  Packet packet;
  packet.mFlow.mCaller.mPort = 1234;
  packet.mFlow.mService.mIp[15] = 9;
  packet.mService = MakeServiceId("agenda");
  packet.mHops = 3;
  packet.mDirective = PacketDirective::Adopt;
  packet.mEpoch = 77;
  packet.mPayload = aPayload;
  return packet;
}

} // namespace

TEST_GROUP(PacketCodec){};

TEST(PacketCodec, RoundTripPreservesAPacket)
{
  Bytes payload{ 1, 2, 3 };
  Packet sent = MakePacket(payload);
  Bytes datagram = EncodePacket(sent);
  Packet decoded = DecodePacket(DecodeDatagram(datagram)->mPayload).value();
  CHECK_TRUE(decoded.mFlow == sent.mFlow);
  CHECK_TRUE(decoded.mService == sent.mService);
  CHECK_TRUE(decoded.mDirective == sent.mDirective);
  CHECK_EQUAL(77, decoded.mEpoch);
  CHECK_EQUAL(3, decoded.mPayload.size());
}

// A datagram is corrupted in transit, or the tunnel receives random bytes. A
// decoder that trusts offsets would read outside the datagram. Each input must
// decode to a packet or return a typed error.
TEST(PacketCodec, CorruptedPacketsAreDecodedOrRejected)
{
  std::mt19937_64 rng(42);
  Bytes payload(40, 5);
  const Bytes intact = EncodePacket(MakePacket(payload));
  int rejected = 0;
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = intact;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[kDatagramHeaderSize +
              rng() % (intact.size() - kDatagramHeaderSize)] =
        static_cast<std::uint8_t>(rng());
    }
    damaged.resize(damaged.size() - rng() % 20);
    ByteView body = ByteView(damaged).subspan(kDatagramHeaderSize);
    rejected += DecodePacket(body).has_value() ? 0 : 1;
  }
  CHECK_TRUE(rejected > 1000);
}
