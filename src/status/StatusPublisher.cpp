#include "src/status/StatusPublisher.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <utility>

namespace heatherplank {

namespace {

std::int64_t WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

struct StatusPublisher::Impl
{
  Impl(ObjectStore& aStore, StatusAggregator::Options aOptions)
    : mStore(aStore)
    , mBoard(std::move(aOptions))
  {
  }

  ObjectStore& mStore;
  std::mutex mLock;
  StatusAggregator mBoard;
};

StatusPublisher::StatusPublisher(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

StatusPublisher::~StatusPublisher() = default;

std::shared_ptr<StatusPublisher> StatusPublisher::Make(
  ObjectStore& aStore, StatusAggregator::Options aOptions)
{
  return std::shared_ptr<StatusPublisher>(
    new StatusPublisher(std::make_unique<Impl>(aStore, std::move(aOptions))));
}

void StatusPublisher::OnReport(const StatusReport& aReport)
{
  std::lock_guard lock(mImpl->mLock);
  mImpl->mBoard.OnReport(aReport, WallClockMs());
}

void StatusPublisher::Tick(Time aNow)
{
  std::optional<StatusRead> read;
  {
    std::lock_guard lock(mImpl->mLock);
    read = mImpl->mBoard.Tick(aNow);
  }
  if (read) {
    mImpl->mStore.Get(
      read->mKey, [self = shared_from_this()](const Result<Object>& aResult) {
        self->OnRead(aResult);
      });
  }
}

void StatusPublisher::OnRead(const Result<Object>& aResult)
{
  std::optional<StatusWrite> write;
  {
    std::lock_guard lock(mImpl->mLock);
    write = mImpl->mBoard.OnRead(aResult, WallClockMs());
  }
  if (!write) {
    return;
  }
  mImpl->mStore.Put(
    write->mKey, std::move(write->mValue), write->mCondition,
    [self = shared_from_this()](const Result<StoreVersion>& aWritten) {
      std::lock_guard lock(self->mImpl->mLock);
      self->mImpl->mBoard.OnWritten(aWritten);
    });
}

} // namespace heatherplank
