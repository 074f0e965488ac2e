#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/SteerMessages.h"

namespace heatherplank {

/** A candidate as a placement names it. */
struct PlacementCandidate
{
  HostId mHost;
  Address mTunnel;
};

/** Watches over opening packets until an agent says what became of them, and
 * gives up on a host that says nothing.
 *
 * Failure met: the first candidate lost power or is cut off. Its heartbeats
 * are missed only after a second or more, and the caller repeats its opening
 * packet after 200 ms, above the latency target of most requests. Here the
 * packet goes to the other candidates after kAnswerWithin, and flows that
 * come after it try the silent host last. Two hosts may then answer; the
 * caller acknowledges one, so the flow still opens once.
 *
 * Pure; not thread safe.
 */
class PlacementWatch
{
public:
  /** A walk of the candidates takes some 5 ms. Above that lie the pauses of
   * hosts whose share of a core is small. */
  static constexpr Duration kAnswerWithin = std::chrono::milliseconds(30);
  /** A packet that is found late by more than this is not the host's fault:
   * this process did not get to run, and the answer may wait to be read. */
  static constexpr Duration kBehind = std::chrono::milliseconds(20);
  /** Times that one packet is offered again. Each walk asks up to eight hosts;
   * offered to all in turn while everything is slow, each packet of a caller
   * became dozens, and the load of them kept everything slow. */
  static constexpr int kMostRetries = 2;
  /** How long a silent host is tried last: a few heartbeats, by when
   * membership knows. */
  static constexpr Duration kSuspectFor = std::chrono::milliseconds(700);
  /** Callers repeat an opening packet after 200 ms; some of that went by before
   * the packet came here. */
  static constexpr Duration kOnlyCopyFor = std::chrono::milliseconds(150);
  /** Opening packets watched at most; more go out unwatched. */
  static constexpr std::size_t kMostWatched = 8192;

  struct Retry
  {
    FlowKey mFlow;
    SteeredPacket mSteered;
    std::vector<PlacementCandidate> mCandidates;
    /** Where the host is that said nothing. */
    Address mSilent;
    /** How often it was offered again before. */
    int mRetries = 0;
  };

  /** Whether an earlier copy of an opening packet may have opened its flow. */
  enum class Copy : std::uint8_t
  {
    First,
    Later,
  };

  /** Watches a packet that went to the first of aCandidates. */
  void Begin(const FlowKey& aFlow, SteeredPacket aSteered,
             std::vector<PlacementCandidate> aCandidates, Copy aCopy, Time aNow,
             int aRetries = 0);

  /** A host answered for the flow. Gives when the packet was sent, if it is
   * watched. */
  std::optional<Time> End(const FlowKey& aFlow);

  /** The candidates refused the flow. True if the caller may be told so by a
   * reset.
   *
   * Failure met: a host that was slow to say so, or whose agent stood still,
   * opened the flow by one copy of its opening packet, and the refusal of
   * another copy cuts the open flow. Shown by callers whose flow ends while
   * its host lives. A flow is refused aloud only if this was the one copy
   * that was ever offered, and before the caller sends another, which any
   * balancer may offer; a caller that hears nothing repeats or gives up by
   * itself. */
  bool EndRefused(const FlowKey& aFlow, Time aNow);

  /** This process stood still: others may have opened what it watched. */
  void ForgetAll();

  /** Flows whose first candidate said nothing in time; that candidate is a
   * suspect from now on and not among the candidates given. */
  std::vector<Retry> TakeLate(Time aNow);

  /** When TakeLate has something next, if nothing happens before. */
  std::optional<Time> NextAt() const;

  /** Whether an opening packet of the flow is unanswered. */
  bool IsWatched(const FlowKey& aFlow) const
  {
    return mWatched.contains(aFlow);
  }

  bool IsSuspect(HostId aHost, Time aNow) const;

  /** A sign of life. */
  void Clear(HostId aHost) { mSuspects.erase(aHost); }

  std::size_t Size() const { return mWatched.size(); }

private:
  struct Watched
  {
    Retry mRetry;
    Copy mCopy = Copy::First;
    /** When it was offered, or counted as offered anew: see kBehind. */
    Time mSentAt;
    Time mOfferedAt;
  };

  std::unordered_map<FlowKey, Watched> mWatched;
  /** In the order of sending; entries of flows that ended are skipped. */
  std::multimap<Time, FlowKey> mBySentAt;
  std::unordered_map<HostId, Time> mSuspects;
};

} // namespace heatherplank
