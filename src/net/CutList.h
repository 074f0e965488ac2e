#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <span>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Addresses that this process treats as unreachable, to simulate network
 * partitions (--fault_injection). Empty in production, where a check costs one
 * relaxed load. Thread safe.
 */
class CutList
{
public:
  /** Replaces the list. */
  void Set(std::span<const Address> aAddresses)
  {
    std::lock_guard lock(mLock);
    mAddresses = { aAddresses.begin(), aAddresses.end() };
    mAny.store(!mAddresses.empty(), std::memory_order_relaxed);
  }

  bool IsCut(const Address& aAddress) const
  {
    if (!mAny.load(std::memory_order_relaxed)) {
      return false;
    }
    std::lock_guard lock(mLock);
    return mAddresses.contains(aAddress);
  }

private:
  std::atomic<bool> mAny{ false };
  mutable std::mutex mLock;
  std::set<Address> mAddresses;
};

} // namespace heatherplank
