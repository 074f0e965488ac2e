#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "src/decide/Request.h"

namespace heatherplank {

/** A request that a FairQueue holds; owned by whoever pushed it. */
struct Waiting
{
  Request mRequest;
  /** Let in although its deadline looks out of reach, to learn if it is. */
  bool mProbe = false;
  boost::intrusive::list_member_hook<> mTurnHook;
  boost::intrusive::set_member_hook<> mDeadlineHook;
};

/** The requests of one class that wait, served caller by caller in turn.
 *
 * Load it answers: a few callers or keys that send most of the requests.
 * Without it they fill the queue, and the others are refused or wait behind
 * them. Callers are hashed into 256 lanes with the host's seed: memory is
 * bounded whatever the callers do, a caller who shares a lane with a busy one
 * here doesn't at the next host, and with the few busy callers this is meant
 * for, a lane is shared by chance of one in eighty.
 *
 * Push, pop and removal cost the same whatever the length, but for the order
 * by deadline, which is logarithmic. Not thread safe.
 */
class FairQueue
{
public:
  /** With aFair off all callers share one lane. */
  FairQueue(std::uint64_t aSeed, bool aFair);

  FairQueue(FairQueue&&) = delete;

  /** Adds at the end of the caller's lane. Precondition: not in a queue; it
   * outlives its stay. */
  void Push(Waiting& aWaiting);

  /** Takes the first of the lane whose turn it is; null if empty. */
  Waiting* Pop();

  /** Takes out one that is in this queue. */
  void Remove(Waiting& aWaiting);

  /** The one with the earliest deadline; null if empty. */
  Waiting* Earliest();

  /** The last of the longest lane: who takes most gives first. Null if empty.
   */
  Waiting* LastOfLongest();

  /** All that wait, in the order in which they would be served. */
  std::vector<Waiting*> InOrder();

  std::uint32_t Size() const { return mSize; }

  /** How many lanes hold something. */
  std::uint32_t Lanes() const
  {
    return static_cast<std::uint32_t>(mActive.size());
  }

  /** How many of a caller's lane wait. */
  std::uint32_t Depth(std::uint64_t aCaller) const;

  /** How many would be served before a new request of the caller. */
  std::uint32_t Ahead(std::uint64_t aCaller) const;

private:
  struct ByDeadline
  {
    bool operator()(const Waiting& aLeft, const Waiting& aRight) const
    {
      return aLeft.mRequest.mDeadline < aRight.mRequest.mDeadline;
    }
  };
  using TurnList = boost::intrusive::list<
    Waiting,
    boost::intrusive::member_hook<Waiting, boost::intrusive::list_member_hook<>,
                                  &Waiting::mTurnHook>>;
  using DeadlineSet = boost::intrusive::multiset<
    Waiting,
    boost::intrusive::member_hook<Waiting, boost::intrusive::set_member_hook<>,
                                  &Waiting::mDeadlineHook>,
    boost::intrusive::compare<ByDeadline>>;

  struct Lane
  {
    TurnList mList;
    boost::intrusive::list_member_hook<> mActiveHook;
  };
  using ActiveList = boost::intrusive::list<
    Lane, boost::intrusive::member_hook<
            Lane, boost::intrusive::list_member_hook<>, &Lane::mActiveHook>>;

  static constexpr std::size_t kLanes = 256;

  std::size_t LaneOf(std::uint64_t aCaller) const;

  std::uint64_t mSeed;
  bool mFair;
  std::uint32_t mSize = 0;
  std::array<Lane, kLanes> mLanes;
  ActiveList mActive;
  DeadlineSet mDeadlines;
};

} // namespace heatherplank
