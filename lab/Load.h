#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "lab/Flow.h"

namespace heatherplank::lab {

/** The callers of one LoadSpec: opens its flows and puts requests on them,
 * by rate or flow by flow. Not thread safe: belongs to an executor of one
 * thread.
 */
class Load
{
public:
  using Open = std::function<std::shared_ptr<Flow>(const LoadSpec&)>;

  /** Precondition: aSpec outlives it. aOpen makes a new flow. */
  Load(const boost::asio::any_io_executor& aExecutor, const LoadSpec& aSpec,
       std::uint64_t aSeed, Open aOpen);

  ~Load();

  /** Begins at once; sends no new request after Stop. */
  void Start();
  void Stop();

private:
  struct Slot;

  void NextArrival();
  void Arrive();
  std::shared_ptr<Flow> FlowOf(Slot& aSlot);
  void Think(Slot& aSlot);
  std::string NextKey();
  /** Up to a quarter more or less than a think time. */
  Duration PickThink();

  boost::asio::any_io_executor mExecutor;
  const LoadSpec& mSpec;
  std::mt19937_64 mRandom;
  std::uint64_t mSeed;
  Open mOpen;
  std::vector<std::unique_ptr<Slot>> mSlots;
  boost::asio::steady_timer mTimer;
  std::size_t mKeys = 0;
  bool mStopped = false;
};

} // namespace heatherplank::lab
