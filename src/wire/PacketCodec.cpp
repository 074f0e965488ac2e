#include "src/wire/PacketCodec.h"

#include "src/wire/WireAddress.h"
#include "src/wire/packet_generated.h"

namespace heatherplank {

Bytes EncodePacket(const Packet& aPacket)
{
  flatbuffers::FlatBufferBuilder builder(256 + aPacket.mPayload.size());
  auto payload =
    builder.CreateVector(aPacket.mPayload.data(), aPacket.mPayload.size());
  wire::WireFlow flow = ToWire(aPacket.mFlow);
  wire::WireAddress returnTo = ToWire(aPacket.mReturnTo);
  wire::WireAddress hintTo = ToWire(aPacket.mHintTo);
  wire::PacketBuilder packet(builder);
  packet.add_flow(&flow);
  packet.add_service_id(aPacket.mService.mValue);
  packet.add_return_to(&returnTo);
  packet.add_hint_to(&hintTo);
  packet.add_hops(aPacket.mHops);
  packet.add_directive(static_cast<wire::Directive>(aPacket.mDirective));
  packet.add_arbiter(aPacket.mArbiter.mValue);
  packet.add_epoch(aPacket.mEpoch);
  packet.add_payload(payload);
  builder.Finish(packet.Finish());
  return EncodeDatagram(MessageKind::Packet, Finished(builder));
}

Result<Packet> DecodePacket(ByteView aPayload)
{
  auto read = ReadRoot<wire::Packet>(aPayload, "packet");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::Packet& from = **read;
  if (from.directive() > wire::Directive_MAX) {
    return MalformedMessage("packet (unknown directive)");
  }
  Packet packet;
  packet.mFlow = FromWire(*from.flow());
  packet.mService = { from.service_id() };
  packet.mReturnTo = from.return_to() ? FromWire(*from.return_to()) : Address{};
  packet.mHintTo = from.hint_to() ? FromWire(*from.hint_to()) : Address{};
  packet.mHops = from.hops();
  packet.mDirective = static_cast<PacketDirective>(from.directive());
  packet.mArbiter = { from.arbiter() };
  packet.mEpoch = from.epoch();
  packet.mPayload = ByteView(from.payload()->data(), from.payload()->size());
  return packet;
}

} // namespace heatherplank
