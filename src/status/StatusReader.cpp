#include "src/status/StatusReader.h"

#include <string>
#include <vector>

namespace heatherplank {

void AddStatus(StatusObject& aTo, const StatusObject& aFrom)
{
  for (const auto& [name, process] : aFrom.mProcesses) {
    auto [it, isNew] = aTo.mProcesses.try_emplace(name, process);
    if (!isNew && it->second.mLastReportMs < process.mLastReportMs) {
      it->second = process;
    }
  }
  for (const auto& [name, figures] : aFrom.mFigures) {
    PolicyFigures& sum = aTo.mFigures[name];
    sum.mName = name;
    sum.Add(figures);
  }
}

Result<StatusObject> ReadStatusObjects(SyncObjectStore& aPlatform)
{
  auto names = aPlatform.List(kStatusPrefix);
  if (!names) {
    return tl::unexpected(names.error());
  }
  std::vector<std::string> keys;
  keys.reserve(names->size());
  for (const auto& it : *names) {
    keys.push_back(it.mKey);
  }
  auto objects = aPlatform.GetAll(keys);
  if (!objects) {
    return tl::unexpected(objects.error());
  }
  StatusObject out;
  for (const auto& it : *objects) {
    auto status = ParseStatus(it.mValue);
    if (!status) {
      return tl::unexpected(status.error());
    }
    AddStatus(out, *status);
  }
  return out;
}

} // namespace heatherplank
