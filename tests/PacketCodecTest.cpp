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

TEST(PacketCodec, ComesBackAsSent)
{
  Bytes payload{ 1, 2, 3 };
  Packet sent = MakePacket(payload);
  Bytes datagram = EncodePacket(sent);
  Packet got = DecodePacket(DecodeDatagram(datagram)->mPayload).value();
  CHECK_TRUE(got.mFlow == sent.mFlow);
  CHECK_TRUE(got.mService == sent.mService);
  CHECK_TRUE(got.mDirective == sent.mDirective);
  CHECK_EQUAL(77, got.mEpoch);
  CHECK_EQUAL(3, got.mPayload.size());
}

// Bytes flip on the way, or somebody sends garbage to the tunnel. A decoder
// that trusts offsets would read outside the datagram; each input must come
// out as a packet or as a typed error.
TEST(PacketCodec, SurvivesSeededDamage)
{
  std::mt19937_64 rng(42);
  Bytes payload(40, 5);
  const Bytes whole = EncodePacket(MakePacket(payload));
  int refused = 0;
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = whole;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[kDatagramHeaderSize +
              rng() % (whole.size() - kDatagramHeaderSize)] =
        static_cast<std::uint8_t>(rng());
    }
    damaged.resize(damaged.size() - rng() % 20);
    ByteView body = ByteView(damaged).subspan(kDatagramHeaderSize);
    refused += DecodePacket(body).has_value() ? 0 : 1;
  }
  CHECK_TRUE(refused > 1000);
}
