#include "src/passthrough/AnnouncementIntake.h"

#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

namespace {

/** Refusals are logged at most once per interval: another writer may send any
 * number of calls. */
constexpr auto kLogInterval = std::chrono::seconds(1);

} // namespace

AnnouncementIntake::AnnouncementIntake(Options aOptions,
                                       MetricsRegistry& aMetrics)
  : mOptions(std::move(aOptions))
  , mRefused(aMetrics.GetCounter("host_calls_refused_total"))
  , mStale(aMetrics.GetCounter("host_announcements_stale_total"))
{
}

void AnnouncementIntake::OnMalformed(const Error& aError, Time aNow)
{
  mRefused.Add();
  if (AdmitLine(aNow)) {
    LogEvent(LogLevel::Warning, "host_call_refused",
             { { "why", aError.Describe() },
               { "left_out", std::exchange(mLinesLeftOut, 0) } });
  }
}

Result<void> AnnouncementIntake::Check(const HostAnnouncement& aAnnouncement,
                                       Time aNow)
{
  if (!aAnnouncement.mService.empty() &&
      aAnnouncement.mService != mOptions.mService) {
    mRefused.Add();
    LogRefusal(aAnnouncement, "other_service", aNow);
    return Fail(ErrorKind::Forbidden,
                "service " + aAnnouncement.mService + " is not served here",
                "send the announcement to the agent of this host");
  }
  if (aAnnouncement.mAddress &&
      *aAnnouncement.mAddress != mOptions.mHostAddress) {
    mRefused.Add();
    LogRefusal(aAnnouncement, "other_address", aNow);
    return Fail(ErrorKind::Forbidden,
                "this agent's host is not at " +
                  aAnnouncement.mAddress->ToString(),
                "send the announcement to the agent of this host");
  }
  return {};
}

Result<void> AnnouncementIntake::Conclude(const HostAnnouncement& aAnnouncement,
                                          AnnouncementEffect aEffect,
                                          const HostStatus& aStatus, Time aNow)
{
  if (IsAccepted(aEffect)) {
    return {};
  }
  mStale.Add();
  LogRefusal(aAnnouncement, ToString(aEffect), aNow);
  return Fail(ErrorKind::Conflict,
              aAnnouncement.mId + " is not known to be the running host, " +
                aStatus.Id() + " is",
              "a running host goes on with its announcements");
}

bool AnnouncementIntake::AdmitLine(Time aNow)
{
  if (mLoggedAt != Time{} && aNow - mLoggedAt < kLogInterval) {
    ++mLinesLeftOut;
    return false;
  }
  mLoggedAt = aNow;
  return true;
}

void AnnouncementIntake::LogRefusal(const HostAnnouncement& aAnnouncement,
                                    std::string_view aReason, Time aNow)
{
  if (!AdmitLine(aNow)) {
    return;
  }
  LogEvent(LogLevel::Warning, "host_announcement_ignored",
           { { "host", aAnnouncement.mId },
             { "sequence", aAnnouncement.mSequence.value_or(0) },
             { "started_at", aAnnouncement.mStartedAt.value_or(0) },
             { "why", aReason },
             { "left_out", std::exchange(mLinesLeftOut, 0) } });
}

} // namespace heatherplank
