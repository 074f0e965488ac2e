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

/** A kind of request, each on a flow of its own. */
struct FlowClass
{
  std::string mName;
  double mPerSecond = 0;
  /** Mean work at a host; drawn from a lognormal law of sigma 0.5. */
  double mWorkMs = 15;
  /** Answered later than this, it is late. */
  double mTargetMs = 100;
  Importance mImportance = Importance::Normal;
};

/** How the host of a new flow is picked. */
enum class FlowPlacement : std::uint8_t
{
  /** As the product does: agents decide along the flow's ranks. */
  Walk,
  /** The one with less load, of the flow's first two ranks, by reports that
   * hosts send now and then; queues as they come. */
  TwoChoices,
  /** The flow's first rank, whatever its load. */
  FirstRank,
  /** Hash modulo the number of hosts. */
  Modulo,
  Last = Modulo,
};

std::string_view ToString(FlowPlacement aPlacement);

/** What became of the requests of one class. */
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

/** Hosts of opaque flows under a Poisson load, on a clock of its own: an
 * emulator of the users' deployments for comparing placements. Not thread safe.
 */
class FlowFarm
{
public:
  struct Machine
  {
    /** When each slot is free, ms. */
    std::vector<double> mSlots;
    std::vector<double> mEnds;
    double mSlowness = 1;
    /** Requests that it last reported. */
    std::uint32_t mReported = 0;
    /** Work that it was given, ms. */
    double mWork = 0;
    /** As its agent learns it. */
    ServiceTime mServiceTime;
  };

  /** Handshakes and the way to the host and back, of each request's target. */
  static constexpr double kNetworkMs = 12;

  FlowFarm(std::size_t aHosts, unsigned aSeed, std::uint32_t aSlots = 2);

  /** Goes on where the last play ended. */
  void Play(std::span<const FlowClass> aClasses, double aSeconds,
            FlowPlacement aPlacement);

  /** The host that takes a flow along these candidates, or null if refused.
   * aReturnsLater: see FlowOffer. */
  Machine* Walk(std::span<const std::size_t> aCandidates,
                const FlowClass& aClass, bool aReturnsLater = false);
  /** Gives a host work; when its answer comes, ms from now. */
  double Run(Machine& aHost, double aWork);

  /** Moves the clock. */
  void Advance(double aMs) { mNow += aMs; }

  /** Hosts in the order of a flow's ranks. */
  std::vector<std::size_t> Ranks(std::uint64_t aFlow, std::size_t aHosts) const;

  /** Share of the flows so far that a balancer without memory sends to another
   * host than their own after the last host left. */
  double LostAfterOneLeft(FlowPlacement aPlacement) const;

  /** The busiest host's work over the mean. */
  double Imbalance() const;

  std::vector<Machine> mHosts;
  /** By class, in the order of the last play. */
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
