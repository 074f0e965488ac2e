#include "src/wire/LoadCodec.h"

#include "src/wire/WireAddress.h"
#include "src/wire/load_generated.h"

namespace heatherplank {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/** 1 hour. A larger latency is corrupt, and would overflow a duration. */
constexpr std::uint64_t kMaxMicroseconds = 3600000000;

} // namespace

Bytes EncodeLoad(const LoadMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder(128);
  const HostLoad& load = aMessage.mLoad;
  auto latency = duration_cast<microseconds>(load.mLatency).count();
  auto service = duration_cast<microseconds>(load.mServiceTime).count();
  builder.Finish(wire::CreateLoad(
    builder, aMessage.mHost.mValue, aMessage.mIncarnation, load.mQueued,
    load.mBusy, load.mSlots, static_cast<std::uint64_t>(latency),
    aMessage.mSequence, static_cast<std::uint64_t>(service), load.mFailureRate,
    load.mResultCount));
  return EncodeDatagram(MessageKind::Load, Finished(builder));
}

Result<LoadMessage> DecodeLoad(ByteView aPayload)
{
  auto read = ReadRoot<wire::Load>(aPayload, "load");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::Load& from = **read;
  bool isValid = from.host() != 0 && from.latency_us() <= kMaxMicroseconds &&
                 from.service_time_us() <= kMaxMicroseconds &&
                 from.failing() >= 0 && from.failing() <= 1;
  if (!isValid) {
    return MalformedMessage("load");
  }
  LoadMessage message;
  message.mHost = { from.host() };
  message.mIncarnation = from.incarnation();
  message.mSequence = from.sequence();
  message.mLoad.mQueued = from.queued();
  message.mLoad.mBusy = from.busy();
  message.mLoad.mSlots = from.slots();
  message.mLoad.mLatency = microseconds(from.latency_us());
  message.mLoad.mServiceTime = microseconds(from.service_time_us());
  message.mLoad.mFailureRate = from.failing();
  message.mLoad.mResultCount = from.results();
  return message;
}

} // namespace heatherplank
