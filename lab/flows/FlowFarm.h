#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/passthrough/FlowAdmission.h"
#include "src/passthrough/ServiceTime.h"

namespace heatherplank::lab {

/** A kind of request; each request has its own flow. */
struct FlowClass
{
  std::string mName;
  double mPerSecond = 0;
  /** Mean processing time at a host; lognormal with sigma 0.5. */
  double mWorkMs = 15;
  /** An answer after this time is late. */
  double mTargetMs = 100;
  Importance mImportance = Importance::Normal;
};

/** The algorithm that selects the host of a new flow. */
enum class FlowPlacement : std::uint8_t
{
  /** The product's: agents decide in the order of the flow's ranks. */
  Walk,
  /** The less loaded of the flow's first two ranks, by periodic load reports of
   * the hosts; unlimited queues. */
  TwoChoices,
  /** The flow's first rank, whatever its load. */
  FirstRank,
  /** Hash modulo the number of hosts. */
  Modulo,
  Last = Modulo,
};

std::string_view ToString(FlowPlacement aPlacement);

/** The results of the requests of one class. */
struct FlowTally
{
  int mAsked = 0;
  int mInTime = 0;
  int mRefused = 0;
  /** From the opening packet to the answer, ms, of those not refused. */
  std::vector<double> mLatencies;

  double Share() const
  {
    return mAsked == 0 ? 1 : static_cast<double>(mInTime) / mAsked;
  }
  double Quantile(double aQuantile) const;
};

/** Simulates hosts of opaque flows under a Poisson load on a simulated clock,
 * to compare placements. Not thread safe.
 */
class FlowFarm
{
public:
  struct Machine
  {
    /** The time at which each slot becomes free, ms. */
    std::vector<double> mSlots;
    std::vector<double> mEnds;
    double mSlowness = 1;
    /** The number of requests in its last load report. */
    std::uint32_t mReported = 0;
    /** Total processing time assigned to it, ms. */
    double mWork = 0;
    /** The service time as observed by its agent. */
    ServiceTime mServiceTime;
  };

  /** Part of each request's latency target that the network takes. */
  static constexpr double kNetworkMs = 12;

  FlowFarm(std::size_t aHosts, unsigned aSeed, std::uint32_t aSlots = 2);

  /** Continues from the end of the previous call. */
  void Play(std::span<const FlowClass> aClasses, double aSeconds,
            FlowPlacement aPlacement);

  /** Returns the candidate that accepts a flow, or null if all refuse.
   * aReturnsLater: see FlowOffer. */
  Machine* Walk(std::span<const std::size_t> aCandidates,
                const FlowClass& aClass, bool aReturnsLater = false);
  /** Assigns work to a host; returns the time until its answer, ms. */
  double Run(Machine& aHost, double aWork);

  /** Advances the simulated clock. */
  void Advance(double aMs) { mNow += aMs; }

  /** Returns the hosts in the order of a flow's ranks. */
  std::vector<std::size_t> Ranks(std::uint64_t aFlow, std::size_t aHosts) const;

  /** Fraction of all flows that a balancer without state would send to another
   * host than theirs after the last host left. */
  double LostAfterOneLeft(FlowPlacement aPlacement) const;

  /** The busiest host's work, divided by the mean. */
  double Imbalance() const;

  std::vector<Machine> mHosts;
  /** By class, in the order of the last call of Play. */
  std::vector<FlowTally> mTallies;
  std::mt19937_64 mRandom;

private:
  struct Placed
  {
    std::uint64_t mFlow;
    std::size_t mHost;
  };

  HostCondition ConditionOf(Machine& aHost);
  Machine* Place(std::uint64_t aFlow, const FlowClass& aClass,
                 FlowPlacement aPlacement);
  void Report();

  const std::uint32_t mSlots;
  std::vector<Placed> mPlaced;
  double mNow = 0;
  double mReportedAt = 0;
};

} // namespace heatherplank::lab
