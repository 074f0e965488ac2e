#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Sends messages to other heatherplank processes. Thread safe. */
class MessageSender
{
public:
  virtual ~MessageSender() = default;

  /** Sends a message without delivery guarantee; it is lost if the destination
   * is unreachable. */
  virtual void Send(const Address& aTo, MessageKind aKind,
                    ByteView aPayload) = 0;
};

} // namespace heatherplank
