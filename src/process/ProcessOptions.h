#pragma once

#include <string>

namespace heatherplank {

/** Command-line options of a balancer or agent. */
struct ProcessOptions
{
  /** Path of the settings file. */
  std::string mSettingsFile;
  /** Enables the fault-injection endpoints on the admin port. */
  bool mFaultInjection = false;
};

} // namespace heatherplank
