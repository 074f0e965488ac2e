#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/passthrough/RequestScheduler.h"
#include "src/passthrough/ServiceTime.h"

namespace heatherplank {

/** The load of a RequestSimulation; times in ms. */
struct RequestLoad
{
  std::string mName;
  /** Arrivals, as a multiple of what the slots can process. */
  double mLoad = 1;
  /** Load in the first of every ten seconds; 0: as in the others. */
  double mBurstLoad = 0;
  double mDurationMs = 200000;
  std::uint32_t mSlots = 2;
  double mTargetMs = 100;
  double mImportantShare = 0.25;
  int mCallers = 1000;
  /** Callers that send half of the requests. */
  int mBusyCallers = 0;
  /** This share of the requests takes 20 times as long as the others, and has
   * a target in proportion. */
  double mLongShare = 0;
  /** All callers send a request within 10 ms, every 10 s; a rejected one is
   * repeated after 400 ms, twice. */
  bool mStorms = false;
};

/** The requests of a kind, and those answered within their target. */
struct RequestTally
{
  int mSent = 0;
  int mInTime = 0;
  double Share() const
  {
    return mSent == 0 ? 1 : static_cast<double>(mInTime) / mSent;
  }
};

/** Simulates a host with slots and a FIFO queue of four places per slot that
 * rejects the excess, and its agent, with a RequestScheduler or without one.
 * All requests are on open flows. Not thread safe. */
class RequestSimulation
{
public:
  RequestSimulation(const RequestLoad& aLoad, bool aSchedules);

  RequestTally mImportant;
  RequestTally mOthers;
  /** By caller; the busy ones first. */
  std::vector<RequestTally> mByCaller;

  RequestTally All() const
  {
    return { mImportant.mSent + mOthers.mSent,
             mImportant.mInTime + mOthers.mInTime };
  }
  /** The share in time of the callers that are not busy; of the worst-served
   * aPart of them if it is below 1. */
  double CallerShare(double aPart) const;

private:
  using HostEvent = RequestScheduler::HostEvent;

  /** Part of each target that the network takes, ms. */
  static constexpr double kNetworkMs = 12;
  static constexpr double kHopMs = 0.1;
  static constexpr double kTickMs = 50;
  static constexpr double kWorkMs = 15;
  static constexpr double kLongFactor = 20;

  struct Request
  {
    std::size_t mCaller = 0;
    bool mImportant = false;
    double mArrivalMs = 0;
    double mWorkMs = 0;
    double mTargetMs = 0;
    int mRepeats = 0;
    std::uint32_t mAhead = 0;
    double mDeliveredMs = 0;
  };

  void At(double aMs, std::function<void()> aAction);
  Time Now() const { return Time{} + ToDuration(mNowMs); }
  static Duration ToDuration(double aMs);
  double LoadNow() const;
  void ScheduleArrival();
  void ScheduleStorm();
  void Tick();
  void Send(Request aRequest);
  Request MakeRequest();
  HostCondition Condition() const;
  void DeliverHeld(HostEvent aEvent = HostEvent::None);
  void ToHost(std::size_t aId);
  void Start(std::size_t aId);
  void End(std::size_t aId, bool aRejected);
  RequestTally& TallyOf(const Request& aRequest);

  const RequestLoad mLoad;
  std::optional<RequestScheduler> mScheduler;
  std::mt19937_64 mRandom{ 7 };
  std::multimap<double, std::function<void()>> mEvents;
  double mNowMs = 0;
  /** Those not answered yet, by id. */
  std::unordered_map<std::size_t, Request> mRequests;
  std::size_t mNextId = 0;
  /** Delivered and not answered. */
  std::uint32_t mInProgress = 0;
  ServiceTime mServiceTime;
  std::uint32_t mBusySlots = 0;
  std::vector<std::size_t> mQueue;
};

} // namespace heatherplank
