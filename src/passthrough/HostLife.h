#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "include/heatherplank/Clock.h"
#include "src/passthrough/HostAnnouncement.h"

namespace heatherplank {

/** What an announcement changed. */
enum class AnnouncementEffect : std::uint8_t
{
  /** Late, doubled, or of an earlier life: it says nothing of the host. */
  Stale,
  /** Known before; the host lives. */
  Refreshed,
  /** The host's phase, slots or warm-up changed. */
  Changed,
  /** The host started anew, and holds no flow from before. */
  NewLife,
};

/** What an agent believes of its own host, from the host's announcements
 * alone. Pure; not thread safe.
 */
class HostLife
{
public:
  /** aSilentAfter: without an announcement for this long the host counts as
   * silent. */
  explicit HostLife(Duration aSilentAfter);

  AnnouncementEffect OnAnnouncement(const HostAnnouncement& aIt, Time aNow);

  /** Heard since this process started, and not silent since. */
  bool IsHeard(Time aNow) const;

  /** Whether a new flow may be given to the host. False until it was heard:
   * an agent that restarted does not know whether the host is leaving. */
  bool TakesNewFlows(Time aNow) const;

  /** The host's present life was heard from its first announcement on, so all
   * its flows were seen. */
  bool IsKnownFromStart() const { return mKnownFromStart; }

  HostPhase Phase() const { return mPhase; }
  std::uint16_t Slots() const { return mSlots; }
  bool IsCold(Time aNow) const { return aNow < mColdUntil; }
  const std::string& Id() const { return mId; }
  std::uint64_t Sequence() const { return mSequence; }
  Time HeardAt() const { return mHeardAt; }

private:
  bool IsOfEarlierLife(const HostAnnouncement& aIt) const;
  bool IsOfThisLife(const HostAnnouncement& aIt) const;
  void Begin(const HostAnnouncement& aIt);

  const Duration mSilentAfter;
  bool mKnown = false;
  bool mKnownFromStart = false;
  std::string mId;
  std::optional<std::int64_t> mStartedAt;
  /** Names of earlier lives that gave no start time. */
  std::set<std::string> mEarlierIds;
  std::uint64_t mSequence = 0;
  HostPhase mPhase = HostPhase::Ready;
  std::uint16_t mSlots = 1;
  Time mColdUntil{};
  Time mHeardAt{};
};

} // namespace heatherplank
