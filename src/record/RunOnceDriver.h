#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/record/RunOnce.h"

namespace heatherplank {

/** Carries out a RunOnce's platform calls on an ObjectStore and hands the rest
 * of its actions to a handler. Thread safe, under one lock of its own; the
 * handler is called outside of it and may call back.
 */
class RunOnceDriver : public std::enable_shared_from_this<RunOnceDriver>
{
public:
  /** What the agent does; each may be called from any thread that calls the
   * driver, or from the store's executor. */
  class Handler
  {
  public:
    virtual ~Handler() = default;
    virtual void OnGranted(const Granted& aGranted) = 0;
    virtual void OnDuplicate(const Duplicate& aDuplicate) = 0;
    virtual void OnNotRun(const NotRun& aNotRun) = 0;
    virtual void OnUnknown(const Unknown& aUnknown) = 0;
    virtual void OnAskHolder(const AskHolder& aAsk) = 0;
    virtual void OnAskPeers(const AskPeers& aAsk) = 0;
  };

  /** aStore, aClock and aHandler must outlive the driver. */
  static std::shared_ptr<RunOnceDriver> Make(std::unique_ptr<RunOnce> aRunOnce,
                                             ObjectStore& aStore,
                                             const Clock& aClock,
                                             Handler& aHandler);

  /** As the methods of RunOnce of the same names, at the clock's time. */
  void Request(RequestToken aRequest, const std::string& aKey, Time aDeadline);
  void Cancel(RequestToken aRequest, const std::string& aKey);
  bool MayDispatch(const std::string& aKey, Nonce aNonce);
  void Answered(const std::string& aKey, Nonce aNonce,
                std::string_view aAnswer);
  void LostSight(const std::string& aKey, Nonce aNonce);
  void RefusedByServer(const std::string& aKey, Nonce aNonce);
  KeyReply OnQuestion(const std::string& aKey, Nonce aNonce,
                      Incarnation aIncarnation);
  void OnReply(const std::string& aKey, const KeyReply& aReply);
  void OnPeers(const std::string& aKey, const KeyReply& aReply,
               bool aAllAnswered);
  /** Call it every 10 ms or so. */
  void OnTick();
  /** Requests that were answered with a reason. */
  std::uint64_t Count(RunOnceReason aReason) const;

private:
  RunOnceDriver(std::unique_ptr<RunOnce> aRunOnce, ObjectStore& aStore,
                const Clock& aClock, Handler& aHandler);

  /** Runs aWhat on the state under the lock, then its actions outside. */
  template<typename What>
  void With(What aWhat);
  void Perform(const std::vector<RunOnceAction>& aActions);
  void Call(const StoreCall& aCall);

  std::unique_ptr<RunOnce> mRunOnce;
  ObjectStore& mStore;
  const Clock& mClock;
  Handler& mHandler;
  mutable std::mutex mMutex;
};

} // namespace heatherplank
