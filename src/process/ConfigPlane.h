#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigurationHead.h"
#include "src/net/ControlConnection.h"

namespace heatherplank {

class MetricsRegistry;
class ObjectStore;
struct ProcessSettings;

/** Where a process gets its configuration from, and the highest version that
 * it has. Thread safe, by its own lock.
 */
class ConfigPlane
{
public:
  /** Called with no lock held for each version, in order. */
  using OnChange = std::function<void(ConfigurationPtr)>;

  ConfigPlane(const boost::asio::any_io_executor& aExecutor,
              const ProcessSettings& aSettings, const Clock& aClock,
              MetricsRegistry& aMetrics, OnChange aOnChange);
  ~ConfigPlane();

  /** The configuration in force here, or null. */
  ConfigurationPtr Current() const;

  /** Takes a frame of a configuration kind; false if it is of another. */
  bool OnFrame(const ControlConnection::Ptr& aConnection, const Frame& aFrame);

  /** Call every 100 ms. */
  void Tick();

private:
  struct Reading;

  void ReadHead();
  void OnHead(const ConfigurationHead& aHead);
  void OnPart(const std::shared_ptr<Reading>& aReading, std::size_t aIndex,
              std::string aBytes);
  void Accept(ConfigurationPtr aConfiguration);

  const Clock& mClock;
  OnChange mOnChange;
  std::shared_ptr<ObjectStore> mStore;
  mutable std::mutex mLock;
  ConfigurationPtr mCurrent;
  bool mReading = false;
  Time mNextRead{};
};

} // namespace heatherplank
