#pragma once

#include <memory>
#include <string_view>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/HostLoad.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Ejects failing hosts based on the results that agents observe and report.
 *
 * Guards against: a backend server that fails or is slow while its health and
 * load endpoints report that it is healthy. A host that fails fast always has
 * free slots, so every load-based policy would send it more and more work. The
 * endpoints are only a hint: "unhealthy" lowers the number of failures that
 * eject a host, but never ejects it by itself; "healthy" has no effect.
 *
 * At most a third of the hosts is ejected at once: when more fail together,
 * they share a cause, and ejecting them would overload the rest. The first
 * ejection lasts 2 s, about the time of a restart; each consecutive one lasts
 * twice as long, up to 30 s. Afterwards the driver's slow start gives the host
 * work again, and five consecutive answers reset the length of its next
 * ejection.
 *
 * Not thread safe.
 */
class OutlierDetector
{
public:
  virtual ~OutlierDetector() = default;

  /** Adds a host of the service; it counts for the cap. Idempotent. */
  virtual void Add(HostId aHost) = 0;
  virtual void Remove(HostId aHost) = 0;

  /** A request to the host ended; aAnswered is false if it failed or timed out.
   * A shed request doesn't count as a failure. */
  virtual void OnResult(HostId aHost, bool aAnswered, Duration aLatency,
                        Time aNow) = 0;

  /** The host's agent reported its load, computed from the results it observed.
   * Of the times in the report only the service time is used: mLatency
   * includes the queue, and at saturation the hosts with longer queues would
   * be ejected. */
  virtual void OnLoadReport(HostId aHost, const HostLoad& aLoad, Time aNow) = 0;

  /** The health that the backend server's own endpoint reports. */
  virtual void OnHealthHint(HostId aHost, bool aHealthy) = 0;

  /** True while the host is ejected and should get no new work. */
  virtual bool IsEjected(HostId aHost, Time aNow) const = 0;
};

/** "consecutive": ejects after five failures in a row, regardless of other
 * hosts. "compared": ejects a host that fails three times as often as the
 * median host or takes three times as long to answer. InvalidInput for another
 * name. With aCapped false, any number of hosts may be ejected. */
Result<std::unique_ptr<OutlierDetector>> MakeOutlierDetector(
  std::string_view aName, bool aCapped = true);

} // namespace heatherplank
