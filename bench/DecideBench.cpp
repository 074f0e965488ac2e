// What a decision costs with full queues. The counters p50 and p99 are those of
// the single call in nanoseconds, the clock's own cost (some 20 ns) included.
#include <algorithm>
#include <chrono>
#include <vector>

#include "src/decide/AdmissionPolicy.h"
#include "src/decide/BalancingPolicy.h"

#include <benchmark/benchmark.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

class CallTimes
{
public:
  template<typename Call>
  void Measure(Call aCall)
  {
    const auto from = std::chrono::steady_clock::now();
    aCall();
    const auto took = std::chrono::steady_clock::now() - from;
    mTimes.push_back(static_cast<double>(took.count()));
  }

  void Report(benchmark::State& aState)
  {
    std::ranges::sort(mTimes);
    aState.counters["p50"] = mTimes[mTimes.size() / 2];
    aState.counters["p99"] = mTimes[mTimes.size() * 99 / 100];
  }

private:
  std::vector<double> mTimes;
};

// A host whose three classes have full queues of 256 each.
class FullHost
{
public:
  FullHost()
  {
    AdmissionOptions options;
    options.mSlots = 2;
    const Importance importances[] = { Importance::Critical, Importance::High,
                                       Importance::Low };
    for (auto it : importances) {
      ClassOptions made;
      made.mImportance = it;
      made.mQueueLimit = 256;
      made.mMayWait = it == Importance::Low;
      made.mDeadline = 60s;
      options.mClasses.push_back(made);
    }
    mPolicy = MakeAdmissionPolicy("reservation", options).value();
    for (int i = 0; i < 300; ++i) {
      Send(static_cast<std::uint16_t>(i % 3));
      Done();
    }
    // The least important first: behind full queues it is not let in.
    for (std::uint16_t i = 3; i-- > 0;) {
      for (int n = 0; n < 2000; ++n) {
        Send(i);
      }
    }
  }

  void Send(std::uint16_t aClass)
  {
    Request request;
    request.mId = ++mLast;
    request.mClass = aClass;
    request.mCaller = mLast * 7919;
    request.mArrival = mNow;
    request.mDeadline = mNow + 60s;
    mPolicy->OnRequest(request, mNow, mActions);
    Carry();
  }

  void Done()
  {
    const RequestId id = mRunning.back();
    mRunning.pop_back();
    mNow += 1us;
    mPolicy->OnDone(id, RunResult::Answered, 20ms, mNow, mActions);
    Carry();
  }

  // Time enough goes by that all that waits is looked at again; so little in
  // all that no deadline passes.
  void Review()
  {
    mNow += 50ms;
    mPolicy->OnTick(mNow, mActions);
    Carry();
  }

  std::uint32_t Queued() const { return mPolicy->Load().mQueued; }

private:
  void Carry()
  {
    for (const auto& it : mActions) {
      if (it.mKind == ActionKind::Dispatch) {
        mRunning.push_back(it.mId);
      }
    }
    mActions.clear();
  }

  std::unique_ptr<AdmissionPolicy> mPolicy;
  std::vector<RequestId> mRunning;
  Actions mActions;
  Time mNow = Time{} + 1h;
  RequestId mLast = 0;
};

void RefuseAtTheDoor(benchmark::State& aState)
{
  FullHost host;
  CallTimes times;
  for (auto unused : aState) {
    (void)unused;
    times.Measure([&] { host.Send(1); });
  }
  times.Report(aState);
  aState.counters["queued"] = host.Queued();
}
BENCHMARK(RefuseAtTheDoor);

void LetInAndDispatch(benchmark::State& aState)
{
  FullHost host;
  CallTimes arrivals;
  for (auto unused : aState) {
    (void)unused;
    host.Done();
    arrivals.Measure([&] { host.Send(0); });
  }
  arrivals.Report(aState);
  aState.counters["queued"] = host.Queued();
}
BENCHMARK(LetInAndDispatch);

void EndAndDispatchNext(benchmark::State& aState)
{
  FullHost host;
  CallTimes ends;
  for (auto unused : aState) {
    (void)unused;
    ends.Measure([&] { host.Done(); });
    host.Send(0);
  }
  ends.Report(aState);
  aState.counters["queued"] = host.Queued();
}
BENCHMARK(EndAndDispatchNext);

// Every 50 ms, not with every decision.
void ReviewAllThatWaits(benchmark::State& aState)
{
  FullHost host;
  CallTimes times;
  for (auto unused : aState) {
    (void)unused;
    times.Measure([&] { host.Review(); });
  }
  times.Report(aState);
  aState.counters["queued"] = host.Queued();
}
BENCHMARK(ReviewAllThatWaits)->Iterations(200);

void PickOwner(benchmark::State& aState)
{
  const auto name =
    BalancingPolicyNames()[static_cast<std::size_t>(aState.range(0))];
  auto policy = MakeBalancingPolicy(name, 1).value();
  std::vector<Candidate> candidates(4);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].mHost = HostId{ i + 1 };
    candidates[i].mLoad.mLatency = 20ms;
    candidates[i].mLoad.mQueued = 64;
  }
  CallTimes times;
  Time now = Time{} + 1h;
  std::uint64_t flow = 0;
  for (auto unused : aState) {
    (void)unused;
    now += 1us;
    times.Measure(
      [&] { benchmark::DoNotOptimize(policy->Pick(++flow, candidates, now)); });
  }
  times.Report(aState);
  aState.SetLabel(std::string(name));
}
BENCHMARK(PickOwner)->DenseRange(0, 3);

} // namespace
