#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "src/caller/Answer.h"

namespace heatherplank {

/** What the record says of a request that may run at most once. */
struct GrantDecision
{
  enum class Kind : std::uint8_t
  {
    /** Run it now under mNonce. */
    Granted,
    /** Do not run it; mAnswer is its final answer (kept, "not run" or
     * "unknown"). */
    Settled,
  };
  Kind mKind = Kind::Settled;
  std::uint64_t mNonce = 0;
  Answer mAnswer;
};

/** Where a request that may run at most once is recorded before it runs. All
 * methods are thread safe; callbacks run once, with no lock held.
 */
class GrantRecorder
{
public:
  using Decided = std::function<void(GrantDecision)>;

  virtual ~GrantRecorder() = default;

  /** Asks for leave to run the request of a key before aDeadline. */
  virtual void Request(const std::string& aKey, const std::string& aRequestId,
                       Time aDeadline, Decided aDecided) = 0;

  /** Asked just before a granted request goes to the backend server. False: the
   * grant is too old, since this process was paused, and it must not run. */
  virtual bool MayDispatch(std::uint64_t aNonce) = 0;

  /** The backend server answered; repeats get this answer. */
  virtual void OnAnswered(std::uint64_t aNonce, const Answer& aAnswer) = 0;

  /** The request was never written to the backend server, or that says that
   * it did not run it. aDone gives what the caller may be told. */
  virtual void OnNotRun(std::uint64_t aNonce, const Answer& aAnswer,
                        std::function<void(Answer)> aDone) = 0;

  /** It was sent, and nothing came back: it may have run. */
  virtual void OnUnknown(std::uint64_t aNonce) = 0;
};

} // namespace heatherplank
