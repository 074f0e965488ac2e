#include <random>

#include "src/wire/Frame.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(Frame){};

TEST(Frame, DecodesAFrameReceivedByteByByte)
{
  Bytes payload(300, 7);
  Bytes stream = EncodeFrame(MessageKind::Heartbeat, payload);
  FrameDecoder decoder;
  Frame frame;
  for (std::size_t i = 0; i < stream.size(); ++i) {
    CHECK_FALSE(decoder.Next(frame).value());
    decoder.Feed(ByteView(stream).subspan(i, 1));
  }
  CHECK_TRUE(decoder.Next(frame).value());
  CHECK_TRUE(frame.mKind == MessageKind::Heartbeat);
  CHECK_EQUAL(300, frame.mPayload.size());
  CHECK_FALSE(decoder.Next(frame).value());
}

// A peer announces a frame of 4 GB. Buffering it would exhaust the process's
// memory, so the decoder must return an error on reading the header.
TEST(Frame, RejectsAnOversizedLengthOnReadingTheHeader)
{
  Bytes stream(kFrameHeaderSize, 0xff);
  FrameDecoder decoder;
  decoder.Feed(stream);
  Frame frame;
  auto next = decoder.Next(frame);
  CHECK_FALSE(next.has_value());
  CHECK_TRUE(next.error().mKind == ErrorKind::TooLarge);
}

TEST(Frame, RejectsAnotherProtocolVersion)
{
  Bytes datagram = EncodeDatagram(MessageKind::Ask, {});
  datagram[0] = 9;
  auto frame = DecodeDatagram(datagram);
  CHECK_FALSE(frame.has_value());
  CHECK_TRUE(frame.error().mKind == ErrorKind::Malformed);
}

// A port receives random bytes. Each input must decode to a frame, need more
// bytes, or return a typed error; none may crash the process.
TEST(Frame, RandomBytesDoNotCrashTheDecoder)
{
  std::mt19937_64 rng(20261202);
  for (int i = 0; i < 10000; ++i) {
    Bytes garbage(rng() % 64);
    for (auto& it : garbage) {
      it = static_cast<std::uint8_t>(rng());
    }
    FrameDecoder decoder;
    decoder.Feed(garbage);
    Frame frame;
    (void)decoder.Next(frame);
    (void)DecodeDatagram(garbage);
  }
}
