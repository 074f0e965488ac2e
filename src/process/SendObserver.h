#pragma once

#include <cstddef>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Observes the messages sent to other processes. */
class SendObserver
{
public:
  virtual ~SendObserver() = default;

  /** A message of aBytes with its header was handed to a socket. Called on the
   * sender's thread, possibly with its lock held; must not send. */
  virtual void OnSent(const Address& aTo, MessageKind aKind,
                      std::size_t aBytes) = 0;
};

} // namespace heatherplank
