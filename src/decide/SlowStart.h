#pragma once

#include <memory>
#include <string_view>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Computes the share of work of a host that started or returned recently.
 *
 * Guards against: a cold start. A new host has empty queues, so every
 * load-based policy sends it the most work while its caches are empty and its
 * first answers are many times slower; its queue fills with late work before
 * its latency is known. The share starts at a tenth: with seven hosts this is
 * one request in seventy, enough to warm up and too few to be noticeable.
 *
 * Not thread safe.
 */
class SlowStart
{
public:
  virtual ~SlowStart() = default;

  /** The host starts or resumes accepting work. */
  virtual void OnStart(HostId aHost, Time aNow) = 0;
  /** The host answered a request. */
  virtual void OnAnswer(HostId aHost) = 0;
  /** The host was removed. */
  virtual void Remove(HostId aHost) = 0;
  /** The value of Candidate::mWeight, above 0 and up to 1; 1 if no start of the
   * host was observed. */
  virtual double Weight(HostId aHost, Time aNow) const = 0;
};

/** "time": the weight grows linearly over ten seconds, which needs no reports.
 * "answers": the weight grows with the first 50 answers, since requests warm a
 * cache; a host without requests stays cold. InvalidInput for another name. */
Result<std::unique_ptr<SlowStart>> MakeSlowStart(std::string_view aName);

} // namespace heatherplank
