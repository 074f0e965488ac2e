// Run at most once: platform calls a claim, claims a second within the
// platform's rates, grant latency, and what an outage costs.
#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/record/RunOnce.h"

namespace heatherplank {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** How claims find their writer. */
enum Mode : std::int64_t
{
  /** One object a key: what group commit is measured against. */
  ObjectAKey = 0,
  /** Any agent writes any shard. */
  AnyAgent = 1,
  /** Each shard has a home among the agents that writes for all; messages take
   * 1 ms. */
  HomeAgent = 2,
};

constexpr int kAgents = 7;
constexpr std::uint32_t kShards = 64;

/** Seven agents and a platform of 3 to 7 ms on a simulated clock. */
class ClaimLoad
{
public:
  explicit ClaimLoad(Mode aMode, std::uint32_t aShards = kShards)
    : mRandom(1)
  {
    RunOnceOptions options;
    options.mShards = aMode == ObjectAKey ? 1U << 30 : aShards;
    for (int i = 0; i < kAgents; ++i) {
      mAgents.push_back(std::make_unique<RunOnce>(
        HostId{ static_cast<std::uint64_t>(i + 1) }, 1, options, i + 1,
        mNow - std::chrono::hours(1)));
    }
    std::vector<HostId> homes;
    for (int i = 0; i < kAgents && aMode == HomeAgent; ++i) {
      homes.push_back({ static_cast<std::uint64_t>(i + 1) });
    }
    for (auto& it : mAgents) {
      it->SetHomes(homes);
    }
  }

  /** Plays claims of a rate for a time, with an outage from one moment to
   * another. */
  void Play(double aClaimsPerSecond, int aSeconds, Duration aDownFrom = {},
            Duration aDownUntil = {})
  {
    Time start = mNow;
    mDownFrom = start + aDownFrom;
    mDownUntil = start + aDownUntil;
    mEnd = start + seconds(aSeconds);
    for (int i = 0; i < kAgents; ++i) {
      Tick(i);
    }
    Arrive(aClaimsPerSecond);
    while (!mEvents.empty() && mEvents.top().mAt < mEnd) {
      Event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mWhat();
    }
  }

  std::uint64_t Total(std::uint64_t (RunOnce::*aOf)() const) const
  {
    std::uint64_t n = 0;
    for (const auto& it : mAgents) {
      n += ((*it).*aOf)();
    }
    return n;
  }

  static double Quantile(std::vector<double>& aFrom, double aQuantile)
  {
    if (aFrom.empty()) {
      return 0;
    }
    std::ranges::sort(aFrom);
    return aFrom[static_cast<std::size_t>(
      aQuantile * static_cast<double>(aFrom.size() - 1))];
  }

  int mClaims = 0;
  int mGranted = 0;
  int mNotRun = 0;
  int mNotRunAfter = 0;
  int mUnknown = 0;
  std::vector<double> mGrantMs;
  std::vector<double> mRefusalMs;
  /** Calls to the platform by second. */
  std::map<std::int64_t, int> mCalls;
  Time mFirstGrantAfter{};
  Time mDownUntil{};
  std::size_t mLargest = 0;

private:
  struct Event
  {
    Time mAt;
    std::uint64_t mOrder;
    std::function<void()> mWhat;
    bool operator>(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  void After(Duration aDelay, std::function<void()> aWhat)
  {
    mEvents.push({ mNow + aDelay, mOrder++, std::move(aWhat) });
  }

  void Tick(int aAgent)
  {
    mAgents[aAgent]->OnTick(mNow);
    Act(aAgent);
    After(milliseconds(5), [this, aAgent] { Tick(aAgent); });
  }

  void Arrive(double aRate)
  {
    std::exponential_distribution<double> gap(aRate);
    After(microseconds(static_cast<std::int64_t>(gap(mRandom) * 1e6)),
          [this, aRate] {
            Claim();
            Arrive(aRate);
          });
  }

  void Claim()
  {
    RequestToken token = ++mClaims;
    std::string key = "claim-" + std::to_string(mRandom());
    auto agent = static_cast<int>(mRandom() % kAgents);
    Time asked = mNow;
    mAsked[token] = asked;
    mAgents[agent]->Request(token, key, asked + seconds(2), mNow);
    Act(agent);
  }

  void Act(int aAgent)
  {
    for (const RunOnceAction& it : mAgents[aAgent]->TakeActions()) {
      if (const auto* call = std::get_if<StoreCall>(&it)) {
        Call(aAgent, *call);
      } else if (const auto* granted = std::get_if<Granted>(&it)) {
        Run(aAgent, *granted);
      } else if (const auto* asked = std::get_if<PeerQuery>(&it)) {
        After(milliseconds(3), [this, aAgent, key = asked->mKey] {
          mAgents[aAgent]->OnPeerReplies(key, {}, true, mNow);
          Act(aAgent);
        });
      } else if (const auto* refused = std::get_if<NotRun>(&it)) {
        ++mNotRun;
        mNotRunAfter += mNow >= mDownUntil ? 1 : 0;
        mRefusalMs.push_back(SinceAsked(refused->mRequest));
      } else if (std::get_if<Unknown>(&it) != nullptr) {
        ++mUnknown;
      }
    }
    for (const HomeMessage& it : mAgents[aAgent]->TakeHomeMessages()) {
      if (const auto* asked = std::get_if<SendToHome>(&it)) {
        Carry(asked->mHome,
              [this, all = asked->mPendingWrites](RunOnce& aHome) {
                aHome.OnPendingWrites(all, mNow);
              });
      } else if (const auto* told = std::get_if<ReplyToAgent>(&it)) {
        Carry(told->mAgent, [this, tell = *told](RunOnce& aAgain) {
          aAgain.OnOutcomes(tell.mOutcomes, tell.mRetryAfter, mNow);
        });
      }
    }
  }

  void Carry(HostId aTo, std::function<void(RunOnce&)> aWhat)
  {
    int to = static_cast<int>(aTo.mValue) - 1;
    After(milliseconds(1), [this, to, what = std::move(aWhat)] {
      what(*mAgents[to]);
      Act(to);
    });
  }

  double SinceAsked(RequestToken aToken)
  {
    Duration span = mNow - mAsked[aToken];
    return std::chrono::duration<double, std::milli>(span).count();
  }

  void Run(int aAgent, const Granted& aGranted)
  {
    ++mGranted;
    mGrantMs.push_back(SinceAsked(aGranted.mRequest));
    if (mNow > mDownUntil && mFirstGrantAfter == Time{}) {
      mFirstGrantAfter = mNow;
    }
    mAgents[aAgent]->MayDispatch(aGranted.mKey, aGranted.mNonce, mNow);
    After(milliseconds(30), [this, aAgent, aGranted] {
      mAgents[aAgent]->OnAnswered(aGranted.mKey, aGranted.mNonce,
                                  std::string(200, 'a'), mNow);
      Act(aAgent);
    });
  }

  void Call(int aAgent, const StoreCall& aCall)
  {
    ++mCalls[std::chrono::duration_cast<seconds>(mNow.time_since_epoch())
               .count()];
    mLargest = std::max(mLargest, aCall.mValue.size());
    Duration there = microseconds(1500 + mRandom() % 2000);
    bool down = mNow >= mDownFrom && mNow < mDownUntil;
    After(there, [this, aAgent, aCall, there, down] {
      Result<Object> read = Fail(ErrorKind::Unavailable, "", "");
      Result<StoreVersion> written = Fail(ErrorKind::Unavailable, "", "");
      if (!down) {
        read = Read(aCall.mObject);
        written = aCall.mIsWrite ? Write(aCall) : StoreVersion();
      }
      After(there, [this, aAgent, ticket = aCall.mTicket,
                    isWrite = aCall.mIsWrite, read, written] {
        if (isWrite) {
          mAgents[aAgent]->OnPut(ticket, written, mNow);
        } else {
          mAgents[aAgent]->OnGet(ticket, read, mNow);
        }
        Act(aAgent);
      });
    });
  }

  Result<Object> Read(const std::string& aName) const
  {
    auto it = mObjects.find(aName);
    if (it == mObjects.end()) {
      return Fail(ErrorKind::NotFound, "", "");
    }
    return it->second;
  }

  Result<StoreVersion> Write(const StoreCall& aCall)
  {
    Object& object = mObjects[aCall.mObject];
    if (object.mVersion != aCall.mCondition.mVersion) {
      return Fail(ErrorKind::Conflict, "", "");
    }
    object = { aCall.mObject, aCall.mValue, { ++mVersion } };
    return StoreVersion{ mVersion };
  }

  std::mt19937_64 mRandom;
  Time mNow = Time{} + std::chrono::hours(2);
  Time mEnd{};
  Time mDownFrom{};
  std::uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<std::unique_ptr<RunOnce>> mAgents;
  std::map<RequestToken, Time> mAsked;
  std::map<std::string, Object> mObjects;
  std::uint64_t mVersion = 0;
};

/** Arguments: mode; claims a second. */
void Claims(benchmark::State& aState)
{
  auto mode = static_cast<Mode>(aState.range(0));
  auto rate = static_cast<double>(aState.range(1));
  for (auto _ : aState) {
    constexpr int kSeconds = 20;
    ClaimLoad load(mode);
    load.Play(rate, kSeconds);
    double granted = std::max(1, load.mGranted);
    auto writes = static_cast<double>(load.Total(&RunOnce::Writes));
    auto reads = static_cast<double>(load.Total(&RunOnce::Reads));
    auto conflicts = static_cast<double>(load.Total(&RunOnce::Conflicts));
    aState.counters["granted_a_second"] = load.mGranted / double{ kSeconds };
    aState.counters["refused"] = load.mNotRun;
    aState.counters["unknown"] = load.mUnknown;
    aState.counters["writes_a_second"] = writes / kSeconds;
    aState.counters["writes_a_claim"] = writes / granted;
    aState.counters["reads_a_claim"] = reads / granted;
    aState.counters["conflicts_a_claim"] = conflicts / granted;
    aState.counters["grant_ms_p50"] = ClaimLoad::Quantile(load.mGrantMs, 0.5);
    aState.counters["grant_ms_p99"] = ClaimLoad::Quantile(load.mGrantMs, 0.99);
    aState.counters["largest_value"] = static_cast<double>(load.mLargest);
  }
}
BENCHMARK(Claims)
  ->ArgsProduct({ { ObjectAKey, AnyAgent, HomeAgent },
                  { 2, 20, 100, 300, 1000 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/** An outage of 20 s under 20 claims a second. */
void Outage(benchmark::State& aState)
{
  for (auto _ : aState) {
    ClaimLoad load(HomeAgent);
    load.Play(20, 60, seconds(20), seconds(40));
    int peak = 0;
    std::int64_t back =
      std::chrono::duration_cast<seconds>(load.mDownUntil.time_since_epoch())
        .count();
    for (std::int64_t s = back; s < back + 5; ++s) {
      peak = std::max(peak, load.mCalls[s]);
    }
    int during = 0;
    for (std::int64_t s = back - 20; s < back; ++s) {
      during += load.mCalls[s];
    }
    Duration late = load.mFirstGrantAfter - load.mDownUntil;
    aState.counters["refused"] = load.mNotRun;
    aState.counters["unknown"] = load.mUnknown;
    aState.counters["refused_after_its_end"] = load.mNotRunAfter;
    aState.counters["refusal_ms_p50"] =
      ClaimLoad::Quantile(load.mRefusalMs, 0.5);
    aState.counters["refusal_ms_p99"] =
      ClaimLoad::Quantile(load.mRefusalMs, 0.99);
    aState.counters["calls_a_second_while_down"] = during / 20.0;
    aState.counters["peak_calls_after"] = peak;
    aState.counters["first_grant_after_ms"] =
      std::chrono::duration<double, std::milli>(late).count();
  }
}
BENCHMARK(Outage)->Iterations(1)->Unit(benchmark::kMillisecond);

/** The time of one decision: a request, its grant and its end. */
void ClaimDecided(benchmark::State& aState)
{
  RunOnceOptions options;
  options.mGate.mWritesPerSecond = 1e9;
  options.mGate.mReadsPerSecond = 1e9;
  options.mEndedRetention = {};
  Time now = Time{} + std::chrono::hours(2);
  RunOnce once({ 1 }, 1, options, 1, now);
  std::map<std::string, std::uint64_t> versions;
  std::uint64_t n = 0;
  for (auto _ : aState) {
    now += milliseconds(1);
    std::string key = "claim-" + std::to_string(++n);
    once.Request(n, key, now + seconds(1), now);
    benchmark::DoNotOptimize(once.OnKeyQuery(key, 0, 0, now));
    once.Cancel(n, key, now);
    once.TakeActions();
  }
}
BENCHMARK(ClaimDecided)->Iterations(2000);

} // namespace
} // namespace heatherplank
