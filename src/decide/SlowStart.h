#pragma once

#include <memory>
#include <string_view>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Says which share of work a host that just started, or came back, may get.
 *
 * Load it answers: a cold start. A new host has empty queues, so every policy
 * that looks at load sends it the most, while its caches are empty and its
 * first answers are many times slower. Without slow start its queue is full of
 * late work before its latency is known. It begins at a tenth: with seven hosts
 * that is a request in seventy, enough to warm up and too little to be felt.
 *
 * Not thread safe.
 */
class SlowStart
{
public:
  virtual ~SlowStart() = default;

  /** The host starts to take work, or takes it again. */
  virtual void OnStart(HostId aHost, Time aNow) = 0;
  /** The host answered a request. */
  virtual void OnAnswer(HostId aHost) = 0;
  /** The host is gone. */
  virtual void Forget(HostId aHost) = 0;
  /** Its weight for Candidate::mWeight, above 0 to 1; 1 if it never started
   * while we looked on. */
  virtual double Weight(HostId aHost, Time aNow) const = 0;
};

/** "time": the weight grows evenly over ten seconds, which needs no reports.
 * "answers": it grows with the first 50 answers, since what warms a cache is
 * requests; a host nobody calls stays cold, as it is. InvalidInput for another
 * name. */
Result<std::unique_ptr<SlowStart>> MakeSlowStart(std::string_view aName);

} // namespace heatherplank
