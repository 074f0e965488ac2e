#pragma once

#include <memory>
#include <string_view>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/decide/HostLoad.h"

namespace heatherplank {

/** Holds out hosts that fail, going by results that we saw ourselves.
 *
 * Load it answers: a backend server that fails or crawls while its health and
 * load endpoints say that it is well. A host that fails fast always has free
 * slots, so without this every policy that looks at load sends it more and
 * more. What the endpoints say is a hint only: "unhealthy" makes fewer failures
 * enough, and never holds a host out by itself; "healthy" counts for nothing.
 *
 * At most a third of the hosts is out at once: when more fail together, the
 * cause is common to them, and the rest would be run over as well. A host is
 * out for 2 s at first, about the time of a restart, and twice as long each
 * time in a row, 30 s at most. After that it gets work again by the slow start
 * of the driver, and five good answers make it a host like any other.
 *
 * Not thread safe.
 */
class OutlierDetector
{
public:
  virtual ~OutlierDetector() = default;

  /** A host of the service; counts for the cap. Idempotent. */
  virtual void Add(HostId aHost) = 0;
  virtual void Remove(HostId aHost) = 0;

  /** A request to the host ended; aAnswered is false if it failed or timed
   * out. A shed request is no failure. */
  virtual void OnResult(HostId aHost, bool aAnswered, Duration aLatency,
                        Time aNow) = 0;

  /** The host's agent told its figures, counted from results that it saw. Of
   * its times only the service time counts: mLatency holds the queue, and at
   * saturation hosts with the longer queues would be held out for it. */
  virtual void OnFigures(HostId aHost, const HostLoad& aLoad, Time aNow) = 0;

  /** What the backend server's own endpoint says of it. */
  virtual void OnHint(HostId aHost, bool aHealthy) = 0;

  /** True while the host should get no new work. */
  virtual bool IsOut(HostId aHost, Time aNow) const = 0;
};

/** "consecutive": out after five failures in a row, whatever the others do.
 * "compared": out when it fails three times as often as the median host, or
 * takes three times as long to answer. InvalidInput for another name. With
 * aCapped off, any number of hosts may be out. */
Result<std::unique_ptr<OutlierDetector>> MakeOutlierDetector(
  std::string_view aName, bool aCapped = true);

} // namespace heatherplank
