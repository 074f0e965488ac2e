#pragma once

#include <memory>

#include "include/heatherplank/ObjectStore.h"
#include "src/status/StatusAggregator.h"

namespace heatherplank {

/** Executes a StatusAggregator's reads and writes on the platform. Thread safe.
 */
class StatusPublisher : public std::enable_shared_from_this<StatusPublisher>
{
public:
  /** aStore must outlive the publisher and its outstanding calls. */
  static std::shared_ptr<StatusPublisher> Make(
    ObjectStore& aStore, StatusAggregator::Options aOptions);
  ~StatusPublisher();

  /** Adds a report of this or another process. */
  void OnReport(const StatusReport& aReport);

  /** Starts a round if one is due. Call it about once a second. */
  void Tick(Time aNow);

private:
  struct Impl;
  explicit StatusPublisher(std::unique_ptr<Impl> aImpl);
  void OnRead(const Result<Object>& aResult);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
