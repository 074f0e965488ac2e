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

// The indexes of the candidates with weight, or of all if none has weight.
// Reuses its buffer, so that a pick doesn't allocate after the first few.
class EligibleCandidates
{
public:
  std::span<const std::size_t> Select(std::span<const Candidate> aCandidates)
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

// Ignores load; the baseline for the policies that use it.
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
    const auto indexes = mEligible.Select(aCandidates);
    mWeights.clear();
    for (auto it : indexes) {
      mWeights.push_back(aCandidates[it].mWeight);
    }
    return DrawWeighted(indexes, mWeights, mRng);
  }

private:
  Rng mRng;
  EligibleCandidates mEligible;
  std::vector<double> mWeights;
};

// Picks the first candidate in rendezvous order. A host in slow start is
// skipped for the share of flows that it should not get yet; the skipped flows
// depend on the flow hash alone, so that all balancers agree.
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
    const auto indexes = mEligible.Select(aCandidates);
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
  EligibleCandidates mEligible;
};

// Picks the less loaded of two candidates drawn at random. Load reports are
// stale by one exchange: if every balancer picked the least loaded host of all,
// they would overload it together; random pairs spread the flows.
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
    const auto indexes = mEligible.Select(aCandidates);
    const auto first = indexes[DrawIndex(indexes.size())];
    auto second = first;
    if (indexes.size() > 1) {
      const auto at = DrawIndex(indexes.size() - 1);
      second = indexes[at] == first ? indexes.back() : indexes[at];
    }
    const bool isFirstCheaper =
      Cost(aCandidates[first], aNow) <= Cost(aCandidates[second], aNow);
    const auto picked = isFirstCheaper ? first : second;
    mLedger.RecordPick(aCandidates[picked]);
    return picked;
  }

private:
  std::size_t DrawIndex(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRng);
  }

  // The load including this request, with the slots scaled by the weight.
  double Cost(const Candidate& aCandidate, Time aNow)
  {
    const double slots = std::max<std::uint32_t>(1, aCandidate.mLoad.mSlots);
    const double load = mLedger.Load(aCandidate, aNow) + 1.0 / slots;
    return load / std::max(aCandidate.mWeight, 1e-6);
  }

  Rng mRng;
  EligibleCandidates mEligible;
  PickLedger mLedger;
};

// Draws by the inverse square of the observed latency. Always picking the
// lowest latency would send the flows of all balancers to one host (see
// ShiftLimiter). A host keeps at least a twentieth of a share, so that its
// recovery is observed.
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
    const auto indexes = mEligible.Select(aCandidates);
    const Duration best = LowestLatency(indexes, aCandidates);
    mWeights.clear();
    for (auto it : indexes) {
      const auto& candidate = aCandidates[it];
      const double target = TargetShare(candidate.mLoad.mLatency, best);
      const double share = mLimiter.Move(candidate.mHost, target, aNow);
      mWeights.push_back(share * std::max(candidate.mWeight, 1e-6));
    }
    return DrawWeighted(indexes, mWeights, mRng);
  }

private:
  static constexpr double kMinShare = 0.05;

  // The lowest known latency; zero if none is known.
  static Duration LowestLatency(std::span<const std::size_t> aIndexes,
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

  // A host without a latency counts as the best; the limiter and slow start
  // protect it from overload.
  static double TargetShare(Duration aLatency, Duration aBest)
  {
    if (aLatency <= Duration{}) {
      return 1.0;
    }
    const double ratio = static_cast<double>(aBest.count()) /
                         static_cast<double>(aLatency.count());
    return std::max(kMinShare, ratio * ratio);
  }

  Rng mRng;
  EligibleCandidates mEligible;
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
              "unknown balancing policy \"" + std::string(aName) + "\"",
              "use \"random\", \"rendezvous\", \"two-choices\" or "
              "\"least-latency\"");
}

} // namespace heatherplank
