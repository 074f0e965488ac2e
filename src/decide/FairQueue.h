#pragma once

#include <cstdint>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "src/decide/Request.h"

namespace heatherplank {

/** A request in a FairQueue; owned by the code that pushed it. */
struct QueuedRequest
{
  Request mRequest;
  /** Admitted to probe the service time although its deadline looks
   * unreachable. */
  bool mProbe = false;
  boost::intrusive::list_member_hook<> mTurnHook;
  boost::intrusive::set_member_hook<> mDeadlineHook;
};

/** The queued requests of one class, served round-robin by caller.
 *
 * Guards against: a few callers or keys that send most of the requests. They
 * would fill the queue, and other callers would be refused or wait behind them.
 * Callers are hashed with the host's seed into a fixed number of per-caller
 * queues, which bounds memory for any number of callers. A caller that shares a
 * queue with a busy one on this host doesn't on the next host; with three busy
 * callers and 256 queues, the probability of sharing is one in eighty.
 *
 * Push, pop and removal take constant time, except for the order by deadline,
 * which takes logarithmic time. Not thread safe.
 */
class FairQueue
{
public:
  static constexpr std::size_t kDefaultCallerQueues = 256;

  /** With aFair false, all callers share one queue. Precondition:
   * aCallerQueues is a power of two above 1. */
  FairQueue(std::uint64_t aSeed, bool aFair,
            std::size_t aCallerQueues = kDefaultCallerQueues);

  FairQueue(FairQueue&&) = delete;

  /** Appends to the caller's queue. Precondition: aQueued is in no queue; it
   * must outlive its time in the queue. */
  void Push(QueuedRequest& aQueued);

  /** Removes the first request of the per-caller queue whose turn it is; null
   * if empty. */
  QueuedRequest* Pop();

  /** Removes a request that is in this queue. */
  void Remove(QueuedRequest& aQueued);

  /** The request with the earliest deadline; null if empty. */
  QueuedRequest* EarliestDeadline();

  /** The last request of the longest per-caller queue, so that the busiest
   * caller yields first. Null if empty.
   */
  QueuedRequest* LastOfLongest();

  /** All queued requests in the order in which they would be served. */
  std::vector<QueuedRequest*> InOrder();

  std::uint32_t Size() const { return mSize; }

  /** Number of per-caller queues that are not empty. */
  std::uint32_t ActiveQueues() const
  {
    return static_cast<std::uint32_t>(mActive.size());
  }

  /** Number of requests in the caller's queue. */
  std::uint32_t Depth(std::uint64_t aCaller) const;

  /** Upper estimate of the requests served before a new one of the caller. */
  std::uint32_t CountAhead(std::uint64_t aCaller) const;

private:
  struct ByDeadline
  {
    bool operator()(const QueuedRequest& aLeft,
                    const QueuedRequest& aRight) const
    {
      return aLeft.mRequest.mDeadline < aRight.mRequest.mDeadline;
    }
  };
  using TurnList = boost::intrusive::list<
    QueuedRequest, boost::intrusive::member_hook<
                     QueuedRequest, boost::intrusive::list_member_hook<>,
                     &QueuedRequest::mTurnHook>>;
  using DeadlineSet = boost::intrusive::multiset<
    QueuedRequest,
    boost::intrusive::member_hook<QueuedRequest,
                                  boost::intrusive::set_member_hook<>,
                                  &QueuedRequest::mDeadlineHook>,
    boost::intrusive::compare<ByDeadline>>;

  struct CallerQueue
  {
    TurnList mList;
    boost::intrusive::list_member_hook<> mActiveHook;
  };
  using ActiveList =
    boost::intrusive::list<CallerQueue,
                           boost::intrusive::member_hook<
                             CallerQueue, boost::intrusive::list_member_hook<>,
                             &CallerQueue::mActiveHook>>;

  std::size_t QueueIndexOf(std::uint64_t aCaller) const;

  std::uint64_t mSeed;
  bool mFair;
  std::uint32_t mSize = 0;
  std::vector<CallerQueue> mCallerQueues;
  ActiveList mActive;
  DeadlineSet mDeadlines;
};

} // namespace heatherplank
