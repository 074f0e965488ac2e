#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Sends messages to our other processes. Thread safe. */
class MessageSender
{
public:
  virtual ~MessageSender() = default;

  /** Sends a message; it may be lost, and is if the other side can't be
   * reached now. */
  virtual void Send(const Address& aTo, MessageKind aKind,
                    ByteView aPayload) = 0;
};

} // namespace heatherplank
