#include "src/decide/BalancingPolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>

#include "include/heatherplank/Types.h"
#include "src/decide/PickLedger.h"
#include "src/decide/ShiftLimiter.h"

namespace heatherplank {

namespace {

using Rng = std::mt19937_64;

double Uniform(Rng& aRng)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRng);
}

// The indexes that may be picked: those with weight, or all if none has any.
// It lives with its policy, so that a pick allocates nothing once warm.
class Eligible
{
public:
  std::span<const std::size_t> Of(std::span<const Candidate> aCandidates)
  {
    mIndexes.clear();
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i].mWeight > 0) {
        mIndexes.push_back(i);
      }
    }
    for (std::size_t i = 0; mIndexes.empty() && i < aCandidates.size(); ++i) {
      mIndexes.push_back(i);
    }
    return mIndexes;
  }

private:
  std::vector<std::size_t> mIndexes;
};

// Draws an index with probability in proportion to its weight.
std::size_t DrawWeighted(std::span<const std::size_t> aIndexes,
                         std::span<const double> aWeights, Rng& aRng)
{
  double total = 0;
  for (double it : aWeights) {
    total += it;
  }
  double at = Uniform(aRng) * total;
  for (std::size_t i = 0; i < aIndexes.size(); ++i) {
    at -= aWeights[i];
    if (at < 0) {
      return aIndexes[i];
    }
  }
  return aIndexes.back();
}

// Knows nothing of load; the yardstick for those that do.
class RandomPolicy final : public BalancingPolicy
{
public:
  explicit RandomPolicy(std::uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  std::string_view Name() const override { return "random"; }

  std::size_t Pick(std::uint64_t /*aFlow*/,
                   std::span<const Candidate> aCandidates,
                   Time /*aNow*/) override
  {
    const auto indexes = mEligible.Of(aCandidates);
    mWeights.clear();
    for (auto it : indexes) {
      mWeights.push_back(aCandidates[it].mWeight);
    }
    return DrawWeighted(indexes, mWeights, mRng);
  }

private:
  Rng mRng;
  Eligible mEligible;
  std::vector<double> mWeights;
};

// The first candidate in rendezvous order. A host in slow start is passed over
// by the share of flows that it should not have yet; which ones depends on the
// flow alone, so that every chooser agrees.
class RendezvousPolicy final : public BalancingPolicy
{
public:
  explicit RendezvousPolicy(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  std::string_view Name() const override { return "rendezvous"; }

  std::size_t Pick(std::uint64_t aFlow, std::span<const Candidate> aCandidates,
                   Time /*aNow*/) override
  {
    const auto indexes = mEligible.Of(aCandidates);
    for (auto it : indexes) {
      const auto& candidate = aCandidates[it];
      const auto hash = MixHash(aFlow, MixHash(candidate.mHost.mValue, mSeed));
      const double at = static_cast<double>(hash) / std::exp2(64.0);
      if (at < candidate.mWeight) {
        return it;
      }
    }
    return indexes.front();
  }

private:
  std::uint64_t mSeed;
  Eligible mEligible;
};

// The lighter of two candidates drawn at random. Two, not the lightest of all:
// figures are stale by an exchange, and choosers that all see the same lightest
// host would run it over together, while random pairs spread them.
class TwoChoicesPolicy final : public BalancingPolicy
{
public:
  explicit TwoChoicesPolicy(std::uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  std::string_view Name() const override { return "two-choices"; }

  std::size_t Pick(std::uint64_t /*aFlow*/,
                   std::span<const Candidate> aCandidates, Time aNow) override
  {
    const auto indexes = mEligible.Of(aCandidates);
    const auto first = indexes[Draw(indexes.size())];
    auto second = first;
    if (indexes.size() > 1) {
      const auto at = Draw(indexes.size() - 1);
      second = indexes[at] == first ? indexes.back() : indexes[at];
    }
    const bool firstWins =
      Cost(aCandidates[first], aNow) <= Cost(aCandidates[second], aNow);
    const auto picked = firstWins ? first : second;
    mLedger.Note(aCandidates[picked]);
    return picked;
  }

private:
  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRng);
  }

  // The load with this request, as if the host had only its weight of slots.
  double Cost(const Candidate& aCandidate, Time aNow)
  {
    const double slots = std::max<std::uint32_t>(1, aCandidate.mLoad.mSlots);
    const double load = mLedger.Load(aCandidate, aNow) + 1.0 / slots;
    return load / std::max(aCandidate.mWeight, 1e-6);
  }

  Rng mRng;
  Eligible mEligible;
  PickLedger mLedger;
};

// Draws by the inverse square of the observed latency. Always the least would
// be a herd (see ShiftLimiter). A host never falls below a twentieth, so that
// its latency is seen again when it has recovered.
class LeastLatencyPolicy final : public BalancingPolicy
{
public:
  explicit LeastLatencyPolicy(std::uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  std::string_view Name() const override { return "least-latency"; }

  std::size_t Pick(std::uint64_t /*aFlow*/,
                   std::span<const Candidate> aCandidates, Time aNow) override
  {
    const auto indexes = mEligible.Of(aCandidates);
    const Duration best = Best(indexes, aCandidates);
    mWeights.clear();
    for (auto it : indexes) {
      const auto& candidate = aCandidates[it];
      const double target = Target(candidate.mLoad.mLatency, best);
      const double share = mLimiter.Move(candidate.mHost, target, aNow);
      mWeights.push_back(share * std::max(candidate.mWeight, 1e-6));
    }
    return DrawWeighted(indexes, mWeights, mRng);
  }

private:
  static constexpr double kLeastShare = 0.05;

  // The least known latency; zero if none is known.
  static Duration Best(std::span<const std::size_t> aIndexes,
                       std::span<const Candidate> aCandidates)
  {
    Duration best{};
    for (auto it : aIndexes) {
      const Duration latency = aCandidates[it].mLoad.mLatency;
      if (latency > Duration{} && (best == Duration{} || latency < best)) {
        best = latency;
      }
    }
    return best;
  }

  // A host without a figure counts as the best; the limiter and slow start
  // keep it from being run over.
  static double Target(Duration aLatency, Duration aBest)
  {
    if (aLatency <= Duration{}) {
      return 1.0;
    }
    const double ratio = static_cast<double>(aBest.count()) /
                         static_cast<double>(aLatency.count());
    return std::max(kLeastShare, ratio * ratio);
  }

  Rng mRng;
  Eligible mEligible;
  ShiftLimiter mLimiter;
  std::vector<double> mWeights;
};

constexpr std::array<std::string_view, 4> kNames{ "random", "rendezvous",
                                                  "two-choices",
                                                  "least-latency" };

} // namespace

std::span<const std::string_view> BalancingPolicyNames()
{
  return kNames;
}

Result<std::unique_ptr<BalancingPolicy>> MakeBalancingPolicy(
  std::string_view aName, std::uint64_t aSeed)
{
  if (aName == "random") {
    return std::make_unique<RandomPolicy>(aSeed);
  }
  if (aName == "rendezvous") {
    return std::make_unique<RendezvousPolicy>(aSeed);
  }
  if (aName == "two-choices") {
    return std::make_unique<TwoChoicesPolicy>(aSeed);
  }
  if (aName == "least-latency") {
    return std::make_unique<LeastLatencyPolicy>(aSeed);
  }
  return Fail(ErrorKind::InvalidInput,
              "no balancing policy is named \"" + std::string(aName) + "\"",
              "use random, rendezvous, two-choices or least-latency");
}

} // namespace heatherplank
