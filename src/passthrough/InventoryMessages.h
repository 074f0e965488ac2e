#pragma once

#include <cstdint>
#include <optional>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/DataCentreDrains.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

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
  /** The answer to such a question: not now, ask another balancer. */
  bool mIsBusy = false;
  /** How long ago the store said, to any balancer, that no routes above
   * mVersion and no other drains than mDrains are in force; none if the sender
   * does not know. */
  std::optional<Duration> mConfirmedAgo;
  /** The data centres that are drained, as the sender knows. */
  DataCentreDrains mDrains;
};

/** Tells an agent that its data centre is drained. */
struct DrainNotice
{
  /** Of the DataCentreDrains. */
  std::uint64_t mVersion = 0;
};

/** The routes, as the operator's tools wrote them. */
struct InventoryDocument
{
  std::uint64_t mVersion = 0;
  /** The text, packed (src/base/Compression.h). */
  Bytes mPacked;
};

} // namespace heatherplank
