#pragma once

#include <string>

#include <flatbuffers/flatbuffers.h>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"
#include "src/wire/packet_generated.h"

namespace heatherplank {

/** Convert between C++ types and FlatBuffers structs. All thread safe. */
wire::WireAddress ToWire(const Address& aAddress);
Address FromWire(const wire::WireAddress& aAddress);
wire::WireFlow ToWire(const FlowKey& aFlow);
FlowKey FromWire(const wire::WireFlow& aFlow);

/** The bytes of a finished builder, valid as long as the builder. */
inline ByteView Finished(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { aBuilder.GetBufferPointer(), aBuilder.GetSize() };
}

/** The error for a message that cannot be decoded; aWhat names the message. */
inline tl::unexpected<Error> MalformedMessage(const std::string& aWhat)
{
  return Fail(ErrorKind::Malformed, "malformed " + aWhat,
              "run the same release on both sides");
}

/** Verifies bytes received from a peer and returns their root table, or
 * Malformed. The table is a view into aBytes. Thread safe.
 */
template<typename Table>
Result<const Table*> ReadRoot(ByteView aBytes, const char* aWhat)
{
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return MalformedMessage(aWhat);
  }
  return flatbuffers::GetRoot<Table>(aBytes.data());
}

} // namespace heatherplank
