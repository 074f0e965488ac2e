#pragma once

#include <mutex>
#include <unordered_map>

#include "src/agent/AnswerStore.h"
#include "src/agent/OwnerPicker.h"
#include "src/steer/Ownership.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** A packet that waits for ownership to settle it. */
struct HeldPacket
{
  FlowKey mFlow;
  Address mReturnTo;
  Address mHintTo;
  std::uint8_t mHops = 0;
  Bytes mPayload;
};

/** A part of this host's flows, by their hash, with all that is known of them.
 * Everything in it stands under its lock.
 */
struct FlowShard
{
  FlowShard(const Peer& aSelf, ServiceId aService,
            OwnerPicker::Observe aObserve, std::uint64_t aSeed,
            const OwnershipOptions& aOptions, std::size_t aMaxAnswerBytes,
            Time aStart)
    : mPicker(std::move(aObserve), aSeed)
    , mOwnership(aSelf, aService, mPicker, aOptions, aStart)
    , mAnswers(aMaxAnswerBytes)
  {
  }

  std::mutex mLock;
  OwnerPicker mPicker;
  Ownership mOwnership;
  AnswerStore mAnswers;
  std::unordered_map<PacketToken, HeldPacket> mHeld;
  /** Requests that another host runs for this one, by flow and id, until their
   * deadline: copies of them go there too. */
  struct LentRequest
  {
    HostId mTo;
    Time mUntil;
  };
  std::unordered_map<FlowKey, std::unordered_map<std::string, LentRequest>>
    mLent;
  std::uint64_t mViewVersion = 0;
};

} // namespace heatherplank
