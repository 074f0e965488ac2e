#pragma once

#include "src/config/ConfigMessages.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A message as a frame's kind and payload. Thread safe. */
struct EncodedConfigMessage
{
  MessageKind mKind{};
  Bytes mPayload;
};
EncodedConfigMessage EncodeConfigMessage(const ConfigMessage& aMessage);

/** Reads the payload of a frame of kind ConfigOffer, ConfigRequest or
 * ConfigObjects; Malformed if it does not verify, is of another kind or holds
 * more than it may. Thread safe.
 */
Result<ConfigMessage> DecodeConfigMessage(const Frame& aFrame);

} // namespace heatherplank
