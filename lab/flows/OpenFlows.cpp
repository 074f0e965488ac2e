#include "lab/flows/OpenFlows.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <numeric>
#include <queue>

namespace heatherplank::lab {

namespace {

/** Mean time between two requests of a flow. */
constexpr double kIntervalMs = 1000;
/** Sigma of the lognormal processing times, as in FlowFarm. */
constexpr double kSpread = 0.5;

class OpenFlowPlay
{
public:
  OpenFlowPlay(const OpenFlowLoad& aLoad,
               std::vector<RequestDelivery*> aDeliveries)
    : mLoad(aLoad)
    , mDeliveries(std::move(aDeliveries))
    , mRandom(aLoad.mSeed)
    , mHosts(aLoad.mHosts)
    , mCallers(aLoad.mCallers)
  {
  }

  OpenFlowResult Play()
  {
    OpenFlows();
    double end = mLoad.mSeconds * 1000;
    while (mEvents.top().mAt < end) {
      Event it = mEvents.top();
      mEvents.pop();
      if (it.mIsAnswer) {
        Finish(it);
      } else {
        Send(it);
      }
    }
    SummariseCallers();
    return std::move(mResult);
  }

private:
  struct Event
  {
    double mAt = 0;
    bool mIsAnswer = false;
    OpenFlowRequest mRequest;

    bool operator>(const Event& aOther) const { return mAt > aOther.mAt; }
  };
  struct Host
  {
    std::uint32_t mRunning = 0;
    std::deque<OpenFlowRequest> mQueue;

    std::size_t InProgress() const { return mRunning + mQueue.size(); }
  };
  struct Caller
  {
    int mAsked = 0;
    int mInTime = 0;
  };

  void OpenFlows()
  {
    double perMs = mLoad.mFactor * static_cast<double>(mLoad.mHosts) *
                   mLoad.mSlots / mLoad.mWorkMs;
    auto flows = static_cast<std::size_t>(perMs * kIntervalMs);
    std::uniform_real_distribution<double> first(0, kIntervalMs);
    std::bernoulli_distribution important(mLoad.mImportantShare);
    for (std::size_t i = 0; i < flows; ++i) {
      // Flows alternate between hosts; every second flow of a host belongs to a
      // busy caller.
      bool busy = i / mLoad.mHosts % 2 == 0;
      std::uint32_t others = mLoad.mCallers - mLoad.mBusyCallers;
      auto caller =
        static_cast<std::uint32_t>(busy ? mRandom() % mLoad.mBusyCallers
                                        : mLoad.mBusyCallers + i % others);
      mEvents.push({ first(mRandom),
                     false,
                     { i, caller, important(mRandom), mLoad.mTargetMs, 0 } });
    }
  }

  std::size_t HostOf(const OpenFlowRequest& aIt) const
  {
    return aIt.mFlow % mLoad.mHosts;
  }

  FlowTally& TallyOf(const OpenFlowRequest& aIt)
  {
    return aIt.mIsImportant ? mResult.mImportant : mResult.mOther;
  }

  void Send(Event aEvent)
  {
    OpenFlowRequest& it = aEvent.mRequest;
    it.mSentAt = aEvent.mAt;
    ++TallyOf(it).mAsked;
    ++mCallers[it.mCaller].mAsked;
    std::size_t host = HostOf(it);
    Deliver(
      mDeliveries[host]->OnRequest(it, mHosts[host].InProgress(), aEvent.mAt),
      aEvent.mAt);
  }

  void Deliver(const std::vector<OpenFlowRequest>& aRequests, double aNow)
  {
    for (const OpenFlowRequest& it : aRequests) {
      Host& host = mHosts[HostOf(it)];
      if (host.mRunning < mLoad.mSlots) {
        Run(host, it, aNow);
      } else if (host.mQueue.size() < mLoad.mQueue) {
        host.mQueue.push_back(it);
      } else {
        ++TallyOf(it).mRefused;
        ScheduleNext(it, aNow);
      }
    }
  }

  void Run(Host& aHost, const OpenFlowRequest& aIt, double aNow)
  {
    std::normal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
    ++aHost.mRunning;
    mEvents.push(
      { aNow + mLoad.mWorkMs * std::exp(spread(mRandom)), true, aIt });
  }

  void Finish(const Event& aEvent)
  {
    const OpenFlowRequest& it = aEvent.mRequest;
    double took = aEvent.mAt - it.mSentAt + FlowFarm::kNetworkMs;
    bool inTime = took <= it.mTargetMs;
    TallyOf(it).mLatencies.push_back(took);
    TallyOf(it).mInTime += inTime ? 1 : 0;
    mCallers[it.mCaller].mInTime += inTime ? 1 : 0;
    std::size_t index = HostOf(it);
    Host& host = mHosts[index];
    --host.mRunning;
    if (!host.mQueue.empty()) {
      OpenFlowRequest next = host.mQueue.front();
      host.mQueue.pop_front();
      Run(host, next, aEvent.mAt);
    }
    ScheduleNext(it, aEvent.mAt);
    Deliver(mDeliveries[index]->OnAnswer(host.InProgress(), aEvent.mAt),
            aEvent.mAt);
  }

  /** The flow's next request comes an interval after this one was sent, but not
   * before this one has ended. */
  void ScheduleNext(const OpenFlowRequest& aIt, double aNow)
  {
    std::exponential_distribution<double> interval(1 / kIntervalMs);
    mEvents.push(
      { std::max(aNow, aIt.mSentAt + interval(mRandom)), false, aIt });
  }

  void SummariseCallers()
  {
    std::vector<double> shares;
    for (std::size_t i = mLoad.mBusyCallers; i < mCallers.size(); ++i) {
      if (mCallers[i].mAsked > 0) {
        shares.push_back(static_cast<double>(mCallers[i].mInTime) /
                         mCallers[i].mAsked);
      }
    }
    std::ranges::sort(shares);
    auto mean = [](auto aBegin, auto aEnd) {
      return aBegin == aEnd ? 0
                            : std::accumulate(aBegin, aEnd, 0.0) /
                                static_cast<double>(aEnd - aBegin);
    };
    auto tenth = static_cast<std::ptrdiff_t>((shares.size() + 9) / 10);
    mResult.mCallersMean = mean(shares.begin(), shares.end());
    mResult.mCallersWorstTenth = mean(shares.begin(), shares.begin() + tenth);
  }

  const OpenFlowLoad mLoad;
  const std::vector<RequestDelivery*> mDeliveries;
  std::mt19937_64 mRandom;
  std::vector<Host> mHosts;
  std::vector<Caller> mCallers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  OpenFlowResult mResult;
};

std::string Row(double aFactor, const char* aClass, const FlowTally& aTally,
                const OpenFlowResult& aResult)
{
  char row[256];
  std::snprintf(
    row, sizeof(row),
    "| %.1f | immediate | %s | %d | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f "
    "|\n",
    aFactor, aClass, aTally.mAsked, 100 * aTally.Share(),
    aTally.mAsked == 0 ? 0 : 100.0 * aTally.mRefused / aTally.mAsked,
    aTally.Quantile(0.5), aTally.Quantile(0.99), 100 * aResult.mCallersMean,
    100 * aResult.mCallersWorstTenth);
  return row;
}

} // namespace

OpenFlowResult PlayOpenFlows(const OpenFlowLoad& aLoad,
                             std::vector<RequestDelivery*> aDeliveries)
{
  return OpenFlowPlay(aLoad, std::move(aDeliveries)).Play();
}

std::string OpenFlowTable(OpenFlowLoad aLoad)
{
  std::string out =
    "| times the slots | delivery | class | requests | in time % | 503 % | "
    "p50 ms | p99 ms | callers, in time % | worst tenth % |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  ImmediateDelivery immediate;
  for (double factor : { 0.8, 1.2, 2.0 }) {
    aLoad.mFactor = factor;
    auto result = PlayOpenFlows(
      aLoad, std::vector<RequestDelivery*>(aLoad.mHosts, &immediate));
    out += Row(factor, "important", result.mImportant, result);
    out += Row(factor, "other", result.mOther, result);
  }
  return out;
}

} // namespace heatherplank::lab
