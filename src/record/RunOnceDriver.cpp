#include "src/record/RunOnceDriver.h"

#include <utility>
#include <variant>

namespace heatherplank {

namespace {

/** Hands actions other than platform calls to the handler. */
class ToHandler
{
public:
  explicit ToHandler(RunOnceDriver::Handler& aHandler)
    : mHandler(aHandler)
  {
  }
  void operator()(const Granted& aIt) { mHandler.OnGranted(aIt); }
  void operator()(const Duplicate& aIt) { mHandler.OnDuplicate(aIt); }
  void operator()(const NotRun& aIt) { mHandler.OnNotRun(aIt); }
  void operator()(const Unknown& aIt) { mHandler.OnUnknown(aIt); }
  void operator()(const AskHolder& aIt) { mHandler.OnAskHolder(aIt); }
  void operator()(const AskPeers& aIt) { mHandler.OnAskPeers(aIt); }
  void operator()(const StoreCall&) {}

private:
  RunOnceDriver::Handler& mHandler;
};

} // namespace

std::shared_ptr<RunOnceDriver> RunOnceDriver::Make(
  std::unique_ptr<RunOnce> aRunOnce, ObjectStore& aStore, const Clock& aClock,
  Handler& aHandler)
{
  return std::shared_ptr<RunOnceDriver>(
    new RunOnceDriver(std::move(aRunOnce), aStore, aClock, aHandler));
}

RunOnceDriver::RunOnceDriver(std::unique_ptr<RunOnce> aRunOnce,
                             ObjectStore& aStore, const Clock& aClock,
                             Handler& aHandler)
  : mRunOnce(std::move(aRunOnce))
  , mStore(aStore)
  , mClock(aClock)
  , mHandler(aHandler)
{
}

template<typename What>
void RunOnceDriver::With(What aWhat)
{
  std::vector<RunOnceAction> actions;
  {
    std::scoped_lock lock(mMutex);
    aWhat(*mRunOnce, mClock.Now());
    actions = mRunOnce->TakeActions();
  }
  Perform(actions);
}

void RunOnceDriver::Perform(const std::vector<RunOnceAction>& aActions)
{
  for (const RunOnceAction& it : aActions) {
    if (const auto* call = std::get_if<StoreCall>(&it)) {
      Call(*call);
    } else {
      std::visit(ToHandler(mHandler), it);
    }
  }
}

void RunOnceDriver::Call(const StoreCall& aCall)
{
  auto self = weak_from_this();
  CallTicket ticket = aCall.mTicket;
  if (!aCall.mIsWrite) {
    mStore.Get(aCall.mObject, [self, ticket](const Result<Object>& aResult) {
      if (auto driver = self.lock()) {
        driver->With([&](RunOnce& aRunOnce, Time aNow) {
          aRunOnce.OnGet(ticket, aResult, aNow);
        });
      }
    });
    return;
  }
  mStore.Put(aCall.mObject, aCall.mValue, aCall.mCondition,
             [self, ticket](const Result<std::uint64_t>& aResult) {
               if (auto driver = self.lock()) {
                 driver->With([&](RunOnce& aRunOnce, Time aNow) {
                   aRunOnce.OnPut(ticket, aResult, aNow);
                 });
               }
             });
}

void RunOnceDriver::Request(RequestToken aRequest, const std::string& aKey,
                            Time aDeadline)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.Request(aRequest, aKey, aDeadline, aNow);
  });
}

void RunOnceDriver::Cancel(RequestToken aRequest, const std::string& aKey)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.Cancel(aRequest, aKey, aNow);
  });
}

bool RunOnceDriver::MayDispatch(const std::string& aKey, Nonce aNonce)
{
  bool may = false;
  With([&](RunOnce& aRunOnce, Time aNow) {
    may = aRunOnce.MayDispatch(aKey, aNonce, aNow);
  });
  return may;
}

void RunOnceDriver::Answered(const std::string& aKey, Nonce aNonce,
                             std::string_view aAnswer)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.Answered(aKey, aNonce, aAnswer, aNow);
  });
}

void RunOnceDriver::LostSight(const std::string& aKey, Nonce aNonce)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.LostSight(aKey, aNonce, aNow);
  });
}

void RunOnceDriver::RefusedByServer(const std::string& aKey, Nonce aNonce)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.RefusedByServer(aKey, aNonce, aNow);
  });
}

KeyReply RunOnceDriver::OnQuestion(const std::string& aKey, Nonce aNonce,
                                   Incarnation aIncarnation)
{
  std::scoped_lock lock(mMutex);
  return mRunOnce->OnQuestion(aKey, aNonce, aIncarnation, mClock.Now());
}

void RunOnceDriver::OnReply(const std::string& aKey, const KeyReply& aReply)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.OnReply(aKey, aReply, aNow);
  });
}

void RunOnceDriver::OnPeers(const std::string& aKey, const KeyReply& aReply,
                            bool aAllAnswered)
{
  With([&](RunOnce& aRunOnce, Time aNow) {
    aRunOnce.OnPeers(aKey, aReply, aAllAnswered, aNow);
  });
}

void RunOnceDriver::OnTick()
{
  With([](RunOnce& aRunOnce, Time aNow) { aRunOnce.OnTick(aNow); });
}

std::uint64_t RunOnceDriver::Count(RunOnceReason aReason) const
{
  std::scoped_lock lock(mMutex);
  return mRunOnce->Count(aReason);
}

} // namespace heatherplank
