#include "src/status/StatusCodec.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/wire/Alignment.h"
#include "src/wire/WireAddress.h"
#include "src/wire/status_generated.h"

namespace heatherplank {

namespace {

/** Maximum size of each list in a report; no process sends more. */
constexpr std::size_t kMaxEntries = 256;
constexpr std::size_t kMaxNameBytes = 256;

using Builder = flatbuffers::FlatBufferBuilder;
using Counts = std::map<std::string, std::uint64_t>;
using WireCounts = flatbuffers::Vector<flatbuffers::Offset<wire::NamedCount>>;

auto ToWire(Builder& aBuilder, const Counts& aCounts)
{
  std::vector<flatbuffers::Offset<wire::NamedCount>> out;
  out.reserve(aCounts.size());
  for (const auto& [name, n] : aCounts) {
    out.push_back(
      wire::CreateNamedCount(aBuilder, aBuilder.CreateString(name), n));
  }
  return aBuilder.CreateVector(out);
}

auto ToWire(Builder& aBuilder, const std::map<std::string, LatencyBins>& aBins)
{
  std::vector<flatbuffers::Offset<wire::NamedBins>> out;
  out.reserve(aBins.size());
  for (const auto& [name, bins] : aBins) {
    std::vector<wire::WireBin> list;
    list.reserve(bins.mBins.size());
    for (const auto& [bin, n] : bins.mBins) {
      list.emplace_back(n, bin);
    }
    auto vector = aBuilder.CreateVectorOfStructs(list);
    out.push_back(
      wire::CreateNamedBins(aBuilder, aBuilder.CreateString(name), vector));
  }
  return aBuilder.CreateVector(out);
}

auto ToWire(Builder& aBuilder, const PolicyFigures& aFigures)
{
  auto name = aBuilder.CreateString(aFigures.mName);
  auto refusals = ToWire(aBuilder, aFigures.mRefusals);
  auto retries = ToWire(aBuilder, aFigures.mRetries);
  auto latency = ToWire(aBuilder, aFigures.mLatency);
  wire::WireFiguresBuilder out(aBuilder);
  out.add_name(name);
  out.add_seconds(aFigures.mSeconds);
  out.add_flows_opened(aFigures.mFlowsOpened);
  out.add_flows_broken(aFigures.mFlowsBroken);
  out.add_requests(aFigures.mRequests);
  out.add_answered(aFigures.mAnswered);
  out.add_imbalance_sum(aFigures.mImbalanceSum);
  out.add_imbalance_samples(aFigures.mImbalanceSamples);
  out.add_refusals(refusals);
  out.add_retries(retries);
  out.add_latency(latency);
  return out.Finish();
}

template<typename T>
bool IsWithinMaxEntries(const T* aVector)
{
  return aVector == nullptr || aVector->size() <= kMaxEntries;
}

bool IsWithinMaxLength(const flatbuffers::String* aText)
{
  return aText == nullptr || aText->size() <= kMaxNameBytes;
}

Counts FromWire(const WireCounts* aCounts)
{
  Counts out;
  if (aCounts != nullptr) {
    for (const auto* it : *aCounts) {
      out[it->name()->str()] = it->count();
    }
  }
  return out;
}

LatencyBins FromWire(const wire::NamedBins& aBins)
{
  LatencyBins out;
  if (aBins.bins() != nullptr) {
    for (const auto* it : *aBins.bins()) {
      out.mBins[std::min(it->bin(), LatencyBins::kLastBin)] += it->count();
    }
  }
  return out;
}

bool IsValid(
  const flatbuffers::Vector<flatbuffers::Offset<wire::NamedBins>>* aLatency)
{
  return aLatency == nullptr ||
         (IsWithinMaxEntries(aLatency) &&
          std::all_of(aLatency->begin(), aLatency->end(), [](const auto* aIt) {
            return IsWithinMaxEntries(aIt->bins()) && IsAligned(aIt->bins());
          }));
}

/** False for corrupt values that would spoil a sum: negative, infinite, NaN. */
bool IsSummable(double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= 0;
}

bool IsValid(const wire::WireFigures& aFigures)
{
  return IsWithinMaxLength(aFigures.name()) && aFigures.name()->size() > 0 &&
         IsWithinMaxEntries(aFigures.refusals()) &&
         IsWithinMaxEntries(aFigures.retries()) &&
         IsValid(aFigures.latency()) && IsSummable(aFigures.seconds()) &&
         IsSummable(aFigures.imbalance_sum());
}

PolicyFigures FromWire(const wire::WireFigures& aFigures)
{
  PolicyFigures out;
  out.mName = aFigures.name()->str();
  out.mSeconds = aFigures.seconds();
  out.mFlowsOpened = aFigures.flows_opened();
  out.mFlowsBroken = aFigures.flows_broken();
  out.mRequests = aFigures.requests();
  out.mAnswered = aFigures.answered();
  out.mImbalanceSum = aFigures.imbalance_sum();
  out.mImbalanceSamples = aFigures.imbalance_samples();
  out.mRefusals = FromWire(aFigures.refusals());
  out.mRetries = FromWire(aFigures.retries());
  if (aFigures.latency() != nullptr) {
    for (const auto* it : *aFigures.latency()) {
      out.mLatency[it->name()->str()] = FromWire(*it);
    }
  }
  return out;
}

} // namespace

Bytes EncodeStatusReport(const StatusReport& aReport)
{
  Builder builder;
  std::vector<flatbuffers::Offset<wire::WireFigures>> list;
  list.reserve(aReport.mFigures.size());
  for (const auto& it : aReport.mFigures) {
    list.push_back(ToWire(builder, it));
  }
  auto figures = builder.CreateVector(list);
  const ProcessStatus& process = aReport.mProcess;
  auto name = builder.CreateString(process.mName);
  auto role = builder.CreateString(process.mRole);
  auto dataCentre = builder.CreateString(process.mDataCentre);
  auto admin = builder.CreateString(process.mAdmin);
  wire::StatusReportBuilder out(builder);
  out.add_name(name);
  out.add_role(role);
  out.add_data_centre(dataCentre);
  out.add_admin(admin);
  out.add_version(process.mVersion);
  out.add_since_ms(process.mInForceSinceMs);
  out.add_figures(figures);
  builder.Finish(out.Finish());
  ByteView view = Finished(builder);
  return { view.begin(), view.end() };
}

Result<StatusReport> DecodeStatusReport(ByteView aPayload)
{
  auto read = ReadRoot<wire::StatusReport>(aPayload, "status report");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto& from = **read;
  if (!IsWithinMaxLength(from.name()) || from.name()->size() == 0 ||
      !IsWithinMaxLength(from.role()) ||
      !IsWithinMaxLength(from.data_centre()) ||
      !IsWithinMaxLength(from.admin()) || !IsWithinMaxEntries(from.figures())) {
    return MalformedMessage("status report");
  }
  StatusReport out;
  out.mProcess.mName = from.name()->str();
  out.mProcess.mRole = from.role()->str();
  out.mProcess.mDataCentre = from.data_centre()->str();
  out.mProcess.mAdmin = from.admin() != nullptr ? from.admin()->str() : "";
  out.mProcess.mVersion = from.version();
  out.mProcess.mInForceSinceMs = from.since_ms();
  if (from.figures() == nullptr) {
    return out;
  }
  for (const auto* it : *from.figures()) {
    if (!IsValid(*it)) {
      return MalformedMessage("status report");
    }
    out.mFigures.push_back(FromWire(*it));
  }
  return out;
}

} // namespace heatherplank
