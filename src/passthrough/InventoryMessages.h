#pragma once

#include <cstdint>
#include <string>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Tells a balancer which version of the routes the sender has in force. */
struct InventoryNotice
{
  /** 0: none yet. */
  std::uint64_t mVersion = 0;
  /** Where the sender takes control connections. */
  Address mControl;
  /** The sender asks for the receiver's document, if it is newer. */
  bool mWantsDocument = false;
};

/** The routes, as the operator's tools wrote them. */
struct InventoryDocument
{
  std::uint64_t mVersion = 0;
  std::string mText;
};

} // namespace heatherplank
