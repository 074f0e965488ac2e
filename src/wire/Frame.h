#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Type of a frame or datagram between processes. Each kind has one FlatBuffers
 * root table; numbers are never reused.
 */
enum class MessageKind : std::uint16_t
{
  Packet = 1,
  Ask = 2,
  AskReply = 3,
  Claim = 4,
  ClaimAck = 5,
  Hint = 6,
  Load = 7,
  HandOff = 8,
  HandOffAck = 9,
  KeyQuestion = 10,
  KeyAnswer = 11,
  ShardWishes = 12,
  ShardOutcomes = 13,
  Heartbeat = 20,
  MemberDelta = 21,
  MemberDigest = 22,
  MemberSnapshotRequest = 23,
  MemberSnapshot = 24,
  ConfigOffer = 30,
  ConfigRequest = 31,
  ConfigObjects = 32,
  StatusReport = 33,
  Hello = 40,
  SteeredPacket = 50,
  PlacementReport = 51,
  InventoryNotice = 52,
  InventoryDocument = 53,
  DrainNotice = 54,
  FlowRecords = 55,
  FlowQuery = 56,
  FlowQueryReply = 57,
  PastServicesRequest = 58,
  PastServices = 59,
};

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

/** Version of the protocol between processes. */
constexpr std::uint16_t kProtocolVersion = 1;
/** Maximum payload of a frame: a value of the platform and its envelope. */
constexpr std::size_t kMaxFramePayload = std::size_t{ 2 } * 1024 * 1024;
/** Bytes before a frame's payload: length, version, kind. */
constexpr std::size_t kFrameHeaderSize = 8;
/** Bytes before a datagram's payload: version, kind and four zero bytes, which
 * align the payload to 8 bytes as FlatBuffers requires. */
constexpr std::size_t kDatagramHeaderSize = 8;

/** A complete message. The payload is a view into the decoder's buffer or the
 * datagram: valid until that changes, and aligned to 8 bytes if that is.
 */
struct Frame
{
  MessageKind mKind{};
  ByteView mPayload;
};

/** Encodes a frame for TCP. Precondition: at most kMaxFramePayload bytes. */
Bytes EncodeFrame(MessageKind aKind, ByteView aPayload);

/** Encodes a datagram for the UDP tunnel. */
Bytes EncodeDatagram(MessageKind aKind, ByteView aPayload);

/** Malformed if the version differs or the header is truncated. */
Result<Frame> DecodeDatagram(ByteView aDatagram);

/** Splits a byte stream into frames. Not thread safe. */
class FrameDecoder
{
public:
  /** Appends bytes received from the connection. */
  void Feed(ByteView aBytes);

  /** Stores the next complete frame in aOut, whose payload is valid until the
   * next call. False if more bytes are needed. After an error (Malformed,
   * TooLarge) the stream is unusable and must be closed.
   */
  Result<bool> Next(Frame& aOut);

private:
  Bytes mBuffer;
  /** Size of the frame that Next returned last; erased by the next call. */
  std::size_t mConsumed = 0;
};

} // namespace heatherplank
