#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "lab/Flow.h"

namespace heatherplank::lab {

/** Simulates the callers of one LoadSpec: opens flows and sends requests on
 * them, at a rate or one after another on each flow. Not thread safe: used only
 * on the thread of the executor.
 */
class Load
{
public:
  using Open = std::function<std::shared_ptr<Flow>(const LoadSpec&)>;

  /** Precondition: aSpec outlives it. aOpen opens a flow. */
  Load(const boost::asio::any_io_executor& aExecutor, const LoadSpec& aSpec,
       std::uint64_t aSeed, Open aOpen);

  ~Load();

  /** Starts sending at once; no new request is sent after Stop. */
  void Start();
  void Stop();

private:
  struct Slot;

  void NextArrival();
  void Arrive();
  std::shared_ptr<Flow> FlowOf(Slot& aSlot);
  void Think(Slot& aSlot);
  std::string NextKey();
  /** Draws a think time, up to a quarter above or below the configured one. */
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
