#include "review/standins/Packet.h"

#include <algorithm>
#include <cstddef>

namespace heatherplank::review {

namespace {

constexpr std::size_t kHeader = 36;
constexpr std::size_t kEchoAt = 12;
constexpr std::size_t kSumAt = 16;
constexpr std::size_t kFlagsAt = 20;
constexpr std::size_t kPadAt = 21;
constexpr std::size_t kPadSize = 5;
constexpr std::size_t kLengthAt = 26;
constexpr std::size_t kSequenceAt = 28;
constexpr std::size_t kAckAt = 32;
constexpr std::size_t kMappedAt = 12;
constexpr std::uint64_t kKey = 0x7265766965770a01;

void Store(Bytes& aOut, std::size_t aAt, std::uint32_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut[aAt + static_cast<std::size_t>(i)] =
      static_cast<std::uint8_t>(aValue >> (8 * (aBytes - 1 - i)));
  }
}

std::uint32_t Load(ByteView aBytes, std::size_t aAt, int aCount)
{
  std::uint32_t out = 0;
  for (int i = 0; i < aCount; ++i) {
    out = out << 8U | aBytes[aAt + static_cast<std::size_t>(i)];
  }
  return out;
}

void StoreAddress(Bytes& aOut, std::size_t aAt, const Address& aAddress)
{
  Store(aOut, aAt, aAddress.mPort, 2);
  std::copy_n(aAddress.mIp.begin() + kMappedAt, 4,
              aOut.begin() + static_cast<std::ptrdiff_t>(aAt + 2));
}

Address LoadAddress(ByteView aBytes, std::size_t aAt)
{
  Address out;
  out.mIp[10] = 0xff;
  out.mIp[11] = 0xff;
  std::copy_n(aBytes.begin() + static_cast<std::ptrdiff_t>(aAt + 2), 4,
              out.mIp.begin() + kMappedAt);
  out.mPort = static_cast<std::uint16_t>(Load(aBytes, aAt, 2));
  return out;
}

Bytes EncodeWithSum(const Packet& aPacket, std::uint32_t aSum)
{
  Bytes out(kHeader);
  StoreAddress(out, 0, aPacket.mSource);
  StoreAddress(out, 6, aPacket.mDestination);
  Store(out, kEchoAt, aPacket.mEcho, 4);
  Store(out, kSumAt, aSum, 4);
  out[kFlagsAt] = aPacket.mFlags;
  Store(out, kLengthAt, static_cast<std::uint32_t>(aPacket.mData.size()), 2);
  Store(out, kSequenceAt, aPacket.mSequence, 4);
  Store(out, kAckAt, aPacket.mAcknowledged, 4);
  out.insert(out.end(), aPacket.mData.begin(), aPacket.mData.end());
  return out;
}

} // namespace

std::uint32_t SumOf(const Packet& aPacket)
{
  Packet plain = aPacket;
  plain.mEcho = 0;
  plain.mFlags &= static_cast<std::uint8_t>(~kBounced);
  Bytes bytes = EncodeWithSum(plain, 0);
  std::string_view text(reinterpret_cast<const char*>(bytes.data()),
                        bytes.size());
  auto sum = static_cast<std::uint32_t>(HashBytes(text, kKey));
  return sum == 0 ? 1 : sum;
}

Bytes Encode(const Packet& aPacket)
{
  return EncodeWithSum(aPacket, SumOf(aPacket));
}

std::optional<Packet> Parse(ByteView aBytes)
{
  if (aBytes.size() < kHeader ||
      aBytes.size() != kHeader + Load(aBytes, kLengthAt, 2)) {
    return std::nullopt;
  }
  Packet out;
  out.mSource = LoadAddress(aBytes, 0);
  out.mDestination = LoadAddress(aBytes, 6);
  out.mEcho = Load(aBytes, kEchoAt, 4);
  out.mSum = Load(aBytes, kSumAt, 4);
  out.mFlags = aBytes[kFlagsAt];
  out.mSequence = Load(aBytes, kSequenceAt, 4);
  out.mAcknowledged = Load(aBytes, kAckAt, 4);
  out.mData.assign(aBytes.begin() + kHeader, aBytes.end());
  return out;
}

Bytes MakeBounced(ByteView aBytes)
{
  Bytes out(aBytes.begin(), aBytes.end());
  out[kFlagsAt] |= kBounced;
  std::fill_n(out.begin() + kPadAt, kPadSize, std::uint8_t{ 0 });
  return out;
}

} // namespace heatherplank::review
