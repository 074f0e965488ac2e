#include "src/passthrough/PassthroughTraffic.h"

#include <cmath>

#include "src/base/Log.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

/** SteeredPacket has a cause by its purpose; the kinds without one here are not
 * used on the pass-through path. */
TrafficCause CauseOf(MessageKind aKind)
{
  switch (aKind) {
    case MessageKind::Heartbeat:
      return TrafficCause::Heartbeat;
    case MessageKind::MemberDelta:
    case MessageKind::MemberDigest:
    case MessageKind::MemberSnapshotRequest:
    case MessageKind::MemberSnapshot:
      return TrafficCause::View;
    case MessageKind::InventoryNotice:
    case MessageKind::InventoryDocument:
    case MessageKind::DrainNotice:
    case MessageKind::PastServicesRequest:
    case MessageKind::PastServices:
      return TrafficCause::Document;
    case MessageKind::FlowRecords:
      return TrafficCause::Record;
    case MessageKind::FlowQuery:
    case MessageKind::FlowQueryReply:
      return TrafficCause::Query;
    case MessageKind::PlacementReport:
      return TrafficCause::Report;
    default:
      return TrafficCause::Other;
  }
}

TrafficCause CauseOf(SteerPurpose aPurpose)
{
  switch (aPurpose) {
    case SteerPurpose::Place:
      return TrafficCause::Offer;
    case SteerPurpose::Deliver:
    case SteerPurpose::Located:
      return TrafficCause::Forward;
    case SteerPurpose::Search:
    case SteerPurpose::FanOut:
    case SteerPurpose::NotHere:
      return TrafficCause::Search;
    case SteerPurpose::Locate:
      return TrafficCause::Record;
  }
  return TrafficCause::Other;
}

} // namespace

void PassthroughTraffic::SetViews(std::span<const MemberViewPtr> aViews,
                                  std::span<const ServiceId> aServices)
{
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    mDataCentres.SetMembers(aServices[i], aViews[i]->mMembers);
  }
}

void PassthroughTraffic::OnSent(const Address& aTo, MessageKind aKind,
                                std::size_t aBytes)
{
  mMeter.Add(CauseOf(aKind), mDataCentres.BoundaryOf(aTo), aBytes);
}

void PassthroughTraffic::OnSteered(const Address& aTo, SteerPurpose aPurpose,
                                   std::size_t aBytes)
{
  mMeter.Add(CauseOf(aPurpose), mDataCentres.BoundaryOf(aTo), aBytes);
}

void PassthroughTraffic::EverySecond(Time aNow)
{
  mMeter.OnTick(aNow);
  for (std::size_t i = 0; i < kCauses; ++i) {
    for (std::size_t j = 0; j < kBoundaries; ++j) {
      Export(static_cast<TrafficCause>(i), static_cast<TrafficBoundary>(j));
    }
  }
  if (auto overrun = mMeter.TakeOverrun(aNow)) {
    LogEvent(
      LogLevel::Warning, "traffic_budget",
      { { "control_bytes_per_s", std::llround(overrun->mControlBytes) },
        { "cause", ToString(overrun->mLargestCause) },
        { "cause_bytes_per_s", std::llround(overrun->mLargestCauseBytes) } });
  }
}

void PassthroughTraffic::Export(TrafficCause aCause, TrafficBoundary aBoundary)
{
  const TrafficVolume& total = mMeter.Total(aCause, aBoundary);
  if (total.mMessages == 0) {
    return;
  }
  ExportedSeries& series = mExported[static_cast<std::size_t>(aCause)]
                                    [static_cast<std::size_t>(aBoundary)];
  if (series.mBytes == nullptr) {
    std::string labels = "cause=\"";
    labels.append(ToString(aCause)).append("\",boundary=\"");
    labels.append(ToString(aBoundary)).append("\"");
    series.mBytes = &mMetrics.GetCounter("sent_bytes", labels);
    series.mMessages = &mMetrics.GetCounter("sent_messages", labels);
  }
  series.mBytes->Add(total.mBytes - series.mBytes->Value());
  series.mMessages->Add(total.mMessages - series.mMessages->Value());
}

json::object PassthroughTraffic::RateTable(double TrafficRate::*aField,
                                           double aScale, Time aNow) const
{
  json::object out;
  for (std::size_t i = 0; i < kCauses; ++i) {
    auto cause = static_cast<TrafficCause>(i);
    json::object boundaries;
    for (std::size_t j = 0; j < kBoundaries; ++j) {
      auto boundary = static_cast<TrafficBoundary>(j);
      TrafficRate rate = mMeter.Rate(cause, boundary, aNow);
      if (rate.mMessages > 0) {
        boundaries[ToString(boundary)] = std::llround(rate.*aField * aScale);
      }
    }
    if (!boundaries.empty()) {
      out[ToString(cause)] = std::move(boundaries);
    }
  }
  return out;
}

json::object PassthroughTraffic::Status(Time aNow) const
{
  return { { "control_bytes_per_s", std::llround(mMeter.ControlRate(aNow)) },
           { "bytes_per_s", RateTable(&TrafficRate::mBytes, 1, aNow) },
           { "messages_per_min",
             RateTable(&TrafficRate::mMessages, 60, aNow) } };
}

} // namespace heatherplank
