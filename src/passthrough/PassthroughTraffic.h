#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <string>

#include <boost/json/object.hpp>

#include "src/membership/MemberTable.h"
#include "src/metrics/Metrics.h"
#include "src/metrics/TrafficMeter.h"
#include "src/passthrough/DataCentreLookup.h"
#include "src/process/SendObserver.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** Meters what a process of the pass-through path sends to the others, by cause
 * and boundary: bytes without IP and transport headers. Packets to callers and
 * to the host, and calls to the store, are not counted. Runs on the process's
 * thread. */
class PassthroughTraffic final : public SendObserver
{
public:
  /** aMetrics must outlive it. */
  PassthroughTraffic(MetricsRegistry& aMetrics, DataCentreId aOwn, Time aNow)
    : mMetrics(aMetrics)
    , mDataCentres(aOwn)
    , mMeter(aNow)
  {
  }

  /** The members of a service have changed; balancers: BalancerService(). */
  void SetMembers(ServiceId aService, std::span<const Member> aMembers)
  {
    mDataCentres.SetMembers(aService, aMembers);
  }

  /** The views of services have changed, one view for each service. */
  void SetViews(std::span<const MemberViewPtr> aViews,
                std::span<const ServiceId> aServices);

  void OnSent(const Address& aTo, MessageKind aKind,
              std::size_t aBytes) override;

  /** Like OnSent, for a SteeredPacket, whose purpose determines the cause. */
  void OnSteered(const Address& aTo, SteerPurpose aPurpose, std::size_t aBytes);

  /** Exports the totals, and logs control traffic above the budget. Call it
   * about once a second. */
  void EverySecond(Time aNow);

  /** The rates of the last 10 s, without causes and boundaries that had no
   * traffic. */
  boost::json::object Status(Time aNow) const;

private:
  struct ExportedSeries
  {
    Counter* mBytes = nullptr;
    Counter* mMessages = nullptr;
  };
  static constexpr std::size_t kCauses =
    static_cast<std::size_t>(TrafficCause::Last) + 1;
  static constexpr std::size_t kBoundaries =
    static_cast<std::size_t>(TrafficBoundary::Last) + 1;

  /** One field of the rates times aScale, rounded, by cause and boundary. */
  boost::json::object RateTable(double TrafficRate::*aField, double aScale,
                                Time aNow) const;
  void Export(TrafficCause aCause, TrafficBoundary aBoundary);

  MetricsRegistry& mMetrics;
  DataCentreLookup mDataCentres;
  TrafficMeter mMeter;
  /** By cause and boundary; created with the first message. */
  std::array<std::array<ExportedSeries, kBoundaries>, kCauses> mExported{};
};

} // namespace heatherplank
