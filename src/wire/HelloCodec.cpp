#include "src/wire/HelloCodec.h"

#include "src/wire/WireAddress.h"
#include "src/wire/hello_generated.h"

namespace heatherplank {

Bytes EncodeHello(const Hello& aHello)
{
  flatbuffers::FlatBufferBuilder builder;
  wire::WireAddress control = ToWire(aHello.mControl);
  builder.Finish(wire::CreateHello(builder, aHello.mHost.mValue, &control));
  ByteView bytes = Finished(builder);
  return { bytes.begin(), bytes.end() };
}

Result<Hello> DecodeHello(ByteView aPayload)
{
  auto read = ReadRoot<wire::Hello>(aPayload, "hello");
  if (!read) {
    return tl::unexpected(read.error());
  }
  if ((*read)->host() == 0) {
    return MalformedMessage("hello");
  }
  return Hello{ { (*read)->host() }, FromWire(*(*read)->control()) };
}

} // namespace heatherplank
