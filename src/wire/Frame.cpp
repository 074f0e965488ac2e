#include "src/wire/Frame.h"

#include <boost/endian/conversion.hpp>

namespace heatherplank {

namespace {

void WriteVersionAndKind(std::uint8_t* aOut, MessageKind aKind)
{
  boost::endian::store_little_u16(aOut, kProtocolVersion);
  boost::endian::store_little_u16(aOut + 2, static_cast<std::uint16_t>(aKind));
}

Result<void> CheckVersion(std::uint16_t aVersion)
{
  if (aVersion == kProtocolVersion) {
    return {};
  }
  return Fail(ErrorKind::Malformed,
              "received a message of protocol version " +
                std::to_string(aVersion) + ", this process supports " +
                std::to_string(kProtocolVersion),
              "deploy releases that use the same protocol version");
}

} // namespace

Bytes EncodeFrame(MessageKind aKind, ByteView aPayload)
{
  Bytes out(kFrameHeaderSize);
  boost::endian::store_little_u32(out.data(),
                                  static_cast<std::uint32_t>(aPayload.size()));
  WriteVersionAndKind(out.data() + 4, aKind);
  out.insert(out.end(), aPayload.begin(), aPayload.end());
  return out;
}

Bytes EncodeDatagram(MessageKind aKind, ByteView aPayload)
{
  Bytes out;
  out.reserve(kDatagramHeaderSize + aPayload.size());
  out.resize(kDatagramHeaderSize);
  WriteVersionAndKind(out.data(), aKind);
  out.insert(out.end(), aPayload.begin(), aPayload.end());
  return out;
}

Result<Frame> DecodeDatagram(ByteView aDatagram)
{
  if (aDatagram.size() < kDatagramHeaderSize) {
    return Fail(ErrorKind::Malformed,
                "datagram of " + std::to_string(aDatagram.size()) +
                  " bytes is shorter than the message header",
                "send only complete messages of this protocol");
  }
  auto checked = CheckVersion(boost::endian::load_little_u16(aDatagram.data()));
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  auto kind = boost::endian::load_little_u16(aDatagram.data() + 2);
  return Frame{ static_cast<MessageKind>(kind),
                aDatagram.subspan(kDatagramHeaderSize) };
}

void FrameDecoder::Feed(ByteView aBytes)
{
  mBuffer.insert(mBuffer.end(), aBytes.begin(), aBytes.end());
}

Result<bool> FrameDecoder::Next(Frame& aOut)
{
  mBuffer.erase(mBuffer.begin(),
                mBuffer.begin() + static_cast<std::ptrdiff_t>(mConsumed));
  mConsumed = 0;
  ByteView rest(mBuffer);
  if (rest.size() < kFrameHeaderSize) {
    return false;
  }
  std::size_t length = boost::endian::load_little_u32(rest.data());
  if (length > kMaxFramePayload) {
    return Fail(ErrorKind::TooLarge,
                "frame header announces a payload of " +
                  std::to_string(length) + " bytes",
                "limit payloads to " + std::to_string(kMaxFramePayload) +
                  " bytes");
  }
  auto checked = CheckVersion(boost::endian::load_little_u16(rest.data() + 4));
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  if (rest.size() < kFrameHeaderSize + length) {
    return false;
  }
  auto kind = boost::endian::load_little_u16(rest.data() + 6);
  aOut = Frame{ static_cast<MessageKind>(kind),
                rest.subspan(kFrameHeaderSize, length) };
  mConsumed = kFrameHeaderSize + length;
  return true;
}

} // namespace heatherplank
