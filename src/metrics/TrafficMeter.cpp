#include "src/metrics/TrafficMeter.h"

#include <algorithm>

namespace heatherplank {

namespace {

bool IsControl(TrafficCause aCause)
{
  return aCause != TrafficCause::Offer && aCause != TrafficCause::Forward;
}

} // namespace

std::string_view ToString(TrafficCause aCause)
{
  switch (aCause) {
    case TrafficCause::Heartbeat:
      return "heartbeat";
    case TrafficCause::View:
      return "view";
    case TrafficCause::Document:
      return "document";
    case TrafficCause::Record:
      return "record";
    case TrafficCause::Query:
      return "query";
    case TrafficCause::Search:
      return "search";
    case TrafficCause::Offer:
      return "offer";
    case TrafficCause::Forward:
      return "forward";
    case TrafficCause::Report:
      return "report";
    case TrafficCause::Other:
      return "other";
  }
  return "other";
}

std::string_view ToString(TrafficBoundary aBoundary)
{
  switch (aBoundary) {
    case TrafficBoundary::Own:
      return "own";
    case TrafficBoundary::Other:
      return "other";
    case TrafficBoundary::Unknown:
      return "unknown";
  }
  return "unknown";
}

TrafficMeter::TrafficMeter(Time aNow)
{
  mSnapshots.push_back({ aNow });
}

void TrafficMeter::OnTick(Time aNow)
{
  if (aNow - mSnapshots.back().mAt >= kSnapshotInterval) {
    mSnapshots.push_back({ aNow, mTotals });
  }
}

const TrafficMeter::Snapshot& TrafficMeter::WindowStart(Time aNow) const
{
  auto it = std::find_if(
    mSnapshots.rbegin(), mSnapshots.rend(),
    [&](const Snapshot& aSnapshot) { return aNow - aSnapshot.mAt >= kWindow; });
  return it == mSnapshots.rend() ? mSnapshots.front() : *it;
}

TrafficRate TrafficMeter::Rate(TrafficCause aCause, TrafficBoundary aBoundary,
                               Time aNow) const
{
  const Snapshot& start = WindowStart(aNow);
  double seconds =
    std::chrono::duration<double>(std::max(aNow - start.mAt, kWindow)).count();
  std::size_t cell = CellOf(aCause, aBoundary);
  const TrafficVolume& before = start.mTotals[cell];
  const TrafficVolume& total = mTotals[cell];
  return { static_cast<double>(total.mBytes - before.mBytes) / seconds,
           static_cast<double>(total.mMessages - before.mMessages) / seconds };
}

double TrafficMeter::CauseRate(TrafficCause aCause, Time aNow) const
{
  double bytes = 0;
  for (std::size_t i = 0; i < kBoundaries; ++i) {
    bytes += Rate(aCause, static_cast<TrafficBoundary>(i), aNow).mBytes;
  }
  return bytes;
}

double TrafficMeter::ControlRate(Time aNow) const
{
  double bytes = 0;
  for (std::size_t i = 0; i < kCells / kBoundaries; ++i) {
    auto cause = static_cast<TrafficCause>(i);
    bytes += IsControl(cause) ? CauseRate(cause, aNow) : 0;
  }
  return bytes;
}

std::optional<TrafficOverrun> TrafficMeter::TakeOverrun(Time aNow)
{
  TrafficOverrun overrun{ .mControlBytes = ControlRate(aNow) };
  bool isRecent = mOverrunAt && aNow - *mOverrunAt < kWindow;
  if (isRecent || overrun.mControlBytes <= kControlBudget) {
    return std::nullopt;
  }
  mOverrunAt = aNow;
  for (std::size_t i = 0; i < kCells / kBoundaries; ++i) {
    auto cause = static_cast<TrafficCause>(i);
    double bytes = IsControl(cause) ? CauseRate(cause, aNow) : 0;
    if (bytes > overrun.mLargestCauseBytes) {
      overrun.mLargestCause = cause;
      overrun.mLargestCauseBytes = bytes;
    }
  }
  return overrun;
}

} // namespace heatherplank
