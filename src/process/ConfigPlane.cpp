#include "src/process/ConfigPlane.h"

#include <utility>

#include "src/base/Log.h"
#include "src/config/ConfigurationParts.h"
#include "src/platform/HttpObjectStore.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

namespace {

constexpr auto kReadPeriod = std::chrono::milliseconds(500);

} // namespace

/** A head whose parts are being read. */
struct ConfigPlane::Reading
{
  ConfigurationHead mHead;
  std::vector<std::string> mParts;
  std::size_t mLeft = 0;
};

ConfigPlane::ConfigPlane(const boost::asio::any_io_executor& aExecutor,
                         const ProcessSettings& aSettings, const Clock& aClock,
                         MetricsRegistry&, OnChange aOnChange)
  : mClock(aClock)
  , mOnChange(std::move(aOnChange))
  , mStore(std::make_shared<HttpObjectStore>(aExecutor, aSettings.mPlatform,
                                             HttpObjectStore::Options{}))
{
}

ConfigPlane::~ConfigPlane() = default;

ConfigurationPtr ConfigPlane::Current() const
{
  std::lock_guard lock(mLock);
  return mCurrent;
}

bool ConfigPlane::OnFrame(const ControlConnection::Ptr&, const Frame&)
{
  return false;
}

void ConfigPlane::Tick()
{
  {
    std::lock_guard lock(mLock);
    Time now = mClock.Now();
    if (mReading || now < mNextRead) {
      return;
    }
    mReading = true;
    mNextRead = now + kReadPeriod;
  }
  ReadHead();
}

void ConfigPlane::ReadHead()
{
  mStore->Get(config_keys::kHead, [this](const Result<Object>& aObject) {
    auto head =
      aObject.and_then([](const Object& aIt) { return ParseHead(aIt.mValue); });
    auto current = Current();
    if (head && (!current || current->mVersion < head->mVersion)) {
      OnHead(*head);
      return;
    }
    std::lock_guard lock(mLock);
    mReading = false;
  });
}

void ConfigPlane::OnHead(const ConfigurationHead& aHead)
{
  auto reading = std::make_shared<Reading>();
  reading->mHead = aHead;
  reading->mParts.resize(aHead.mParts.size());
  reading->mLeft = aHead.mParts.size();
  for (std::size_t i = 0; i < aHead.mParts.size(); ++i) {
    mStore->Get(config_keys::Part(aHead.mParts[i]),
                [this, reading, i](const Result<Object>& aObject) {
                  OnPart(reading, i, aObject ? aObject->mValue : "");
                });
  }
}

void ConfigPlane::OnPart(const std::shared_ptr<Reading>& aReading,
                         std::size_t aIndex, std::string aBytes)
{
  {
    std::lock_guard lock(mLock);
    aReading->mParts[aIndex] = std::move(aBytes);
    if (--aReading->mLeft > 0) {
      return;
    }
    mReading = false;
  }
  std::vector<std::string_view> parts(aReading->mParts.begin(),
                                      aReading->mParts.end());
  auto made = AssembleConfiguration(aReading->mHead, parts);
  if (!made) {
    LogEvent(LogLevel::Warning, "configuration_refused",
             { { "version", aReading->mHead.mVersion },
               { "error", made.error().Describe() } });
    return;
  }
  Accept(*made);
}

void ConfigPlane::Accept(ConfigurationPtr aConfiguration)
{
  {
    std::lock_guard lock(mLock);
    if (mCurrent && mCurrent->mVersion >= aConfiguration->mVersion) {
      return;
    }
    mCurrent = aConfiguration;
  }
  LogEvent(LogLevel::Info, "configuration_in_force",
           { { "version", aConfiguration->mVersion } });
  mOnChange(std::move(aConfiguration));
}

} // namespace heatherplank
