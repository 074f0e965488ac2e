#pragma once

#include <memory>

#include "include/heatherplank/ObjectStore.h"
#include "src/status/StatusBoard.h"

namespace heatherplank {

/** Carries out a board's reads and writes on the platform. Thread safe. */
class StatusPublisher : public std::enable_shared_from_this<StatusPublisher>
{
public:
  /** aStore outlives it and its calls. */
  static std::shared_ptr<StatusPublisher> Make(ObjectStore& aStore,
                                               StatusBoard::Options aOptions);
  ~StatusPublisher();

  /** Takes a report in, this process's own too. */
  void OnReport(const StatusReport& aReport);

  /** Call it about once a second. */
  void Tick(Time aNow);

private:
  struct Impl;
  explicit StatusPublisher(std::unique_ptr<Impl> aImpl);
  void OnRead(const Result<Object>& aResult);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
