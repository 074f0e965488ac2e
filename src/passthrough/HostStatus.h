#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "include/heatherplank/Clock.h"
#include "src/passthrough/AnnouncementSeries.h"
#include "src/passthrough/HostAnnouncement.h"
#include "src/passthrough/HostStatusGuards.h"

namespace heatherplank {

/** Effect of an announcement on the agent's view of its host. */
enum class AnnouncementEffect : std::uint8_t
{
  /** Late, duplicated, or of an incarnation that ended; ignored. */
  Stale,
  /** Of another incarnation than the known one, which may be alive. Ignored
   * unless it goes on: see HostStatus. */
  Unconfirmed,
  /** Confirms the known state. */
  Refreshed,
  /** The host's phase, slots or warm-up changed. */
  Changed,
  /** Another incarnation of the host is the known one now. */
  NewIncarnation,
};

/** Whether the agent's view of its host agrees with an announcement, so that it
 * may be acknowledged. */
inline bool IsAccepted(AnnouncementEffect aEffect)
{
  return aEffect != AnnouncementEffect::Stale &&
         aEffect != AnnouncementEffect::Unconfirmed;
}

std::string_view ToString(AnnouncementEffect aEffect);

/** State of an agent's local host, derived only from the host's announcements.
 *
 * At most one incarnation of the host is alive, and announcements of ended ones
 * arrive late. An announcement of another incarnation than the known one
 * replaces it at once only if the known one is silent and the other one can
 * have begun since. Otherwise it has to go on while the known one is silent: a
 * dead host doesn't.
 *
 * No I/O or clock access; not thread safe. */
class HostStatus
{
public:
  struct Options
  {
    /** Between two announcements of a host. */
    Duration mAnnouncementInterval{};
    /** A host without an announcement for this long counts as unresponsive. */
    Duration mAnnouncementTimeout{};
    HostStatusGuards mGuards{};
  };

  /** aNow: the start of the agent. */
  HostStatus(const Options& aOptions, Time aNow);

  AnnouncementEffect OnAnnouncement(const HostAnnouncement& aAnnouncement,
                                    Time aNow);

  /** Whether an announcement arrived within the announcement timeout. */
  bool IsResponsive(Time aNow) const;

  /** Whether the host may be given new flows. False before the first
   * announcement: an agent that restarted does not know whether the host is
   * draining. */
  bool TakesNewFlows(Time aNow) const;

  /** Whether the host's current incarnation was heard for the time between two
   * announcements. Before, it may be one that ended, of which a late
   * announcement was heard. */
  bool IsConfirmed() const { return mSeries && mSeries->IsContinued(); }

  /** Whether the host's current incarnation began after this agent did, so that
   * the agent has seen all its flows. */
  bool IsObservedFromStart() const;

  /** Upper estimate of the time for which the host's current incarnation may
   * have taken flows: see AnnouncementSeries::TimeSinceFirst. */
  std::optional<Duration> TimeSinceFirstAnnouncement(Time aNow) const;

  /** The same for a host that repeated its first announcement at once, as after
   * a common power loss if its agent was not up yet. */
  std::optional<Duration> TimeSinceRepeatedAnnouncement(Time aNow) const;

  /** Whether the host's current incarnation said that it is gone: it holds no
   * flows. Phase() is also Gone if that may have been an earlier one. */
  bool HasEnded() const { return mHasEnded; }

  HostPhase Phase() const { return mPhase; }
  std::uint16_t Slots() const { return mSlots; }
  /** Whether the host is cold, or may be.
   *
   * Guards against: a host restarts within an announcement interval. Until its
   * second announcement it may be the former incarnation that lives, which was
   * warm, and the cold one would get the load of a warm host. */
  bool IsCold(Time aNow) const;
  /** Empty before the first announcement. */
  std::string Id() const;
  /** Number of the last announcement of the current incarnation. */
  std::uint64_t Sequence() const;
  /** Zero before the first announcement. */
  Time LastAnnouncementAt() const;

private:
  /** An incarnation that may have replaced the current one. */
  struct Challenger
  {
    AnnouncementSeries mSeries;
    /** It drains, and its start time does not show that it has ended. */
    bool mMayDrain = false;
    /** Until when it is cold, unless its start time shows that it has ended. */
    Time mColdUntil{};
  };

  AnnouncementEffect OnGone(const HostAnnouncement& aAnnouncement);
  AnnouncementEffect OnOutOfOrder(const HostAnnouncement& aAnnouncement,
                                  Time aNow);
  AnnouncementEffect OnOther(const HostAnnouncement& aAnnouncement, Time aNow);
  bool LacksStartTime(const HostAnnouncement& aAnnouncement) const;
  bool IsOfEnded(const HostAnnouncement& aAnnouncement) const;
  bool StartedEarlier(const HostAnnouncement& aAnnouncement) const;
  bool IsSuccessor(const HostAnnouncement& aAnnouncement, Time aNow) const;
  bool IsSilent(Time aNow) const;
  void AddToChallenger(const HostAnnouncement& aAnnouncement, Time aNow);
  void BeginIncarnation(const AnnouncementSeries& aSeries);
  void SetState(const HostAnnouncement& aAnnouncement, Time aNow);

  const Options mOptions;
  const Time mAgentStartedAt;
  /** Of the current incarnation; unset before the first announcement. */
  std::optional<AnnouncementSeries> mSeries;
  std::optional<Challenger> mChallenger;
  /** Ids of earlier incarnations, the oldest first. Late announcements without
   * a start time are recognised by them. */
  std::deque<std::string> mEarlierIds;
  bool mHadOtherIncarnation = false;
  /** The current incarnation said that it is gone. */
  bool mHasEnded = false;
  HostPhase mPhase = HostPhase::Ready;
  std::uint16_t mSlots = 1;
  Time mColdUntil{};
};

} // namespace heatherplank
