#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "src/caller/Answer.h"

namespace heatherplank {

/** The recorder's decision on a request that may run at most once. */
struct GrantDecision
{
  enum class Kind : std::uint8_t
  {
    /** The request may run now, under mNonce. */
    Granted,
    /** The request must not run; mAnswer is its final answer (a retained
     * answer, "not run" or "unknown"). */
    Denied,
  };
  Kind mKind = Kind::Denied;
  std::uint64_t mNonce = 0;
  Answer mAnswer;
};

/** Records a request that may run at most once before it runs. All methods are
 * thread safe; callbacks run once, with no lock held.
 */
class GrantRecorder
{
public:
  using DecisionCallback = std::function<void(GrantDecision)>;

  virtual ~GrantRecorder() = default;

  /** Requests a grant to run the request of a key before aDeadline. */
  virtual void RequestGrant(const std::string& aKey,
                            const std::string& aRequestId, Time aDeadline,
                            DecisionCallback aOnDecision) = 0;

  /** Checks a grant just before its request is sent to the backend server.
   * Returns false if the grant is unknown or too old, for example because this
   * process was paused; the request must not run then. */
  virtual bool MayDispatch(std::uint64_t aNonce) = 0;

  /** Records the backend server's answer, which repeats of the request get. */
  virtual void OnAnswered(std::uint64_t aNonce, const Answer& aAnswer) = 0;

  /** Records that the request was never written to the backend server, or that
   * the server reported that it did not run it. aDone gets the answer to send
   * to the caller. */
  virtual void OnNotRun(std::uint64_t aNonce, const Answer& aAnswer,
                        std::function<void(Answer)> aDone) = 0;

  /** Records that the request was sent and no answer arrived: it may have run.
   */
  virtual void OnOutcomeUnknown(std::uint64_t aNonce) = 0;
};

} // namespace heatherplank
