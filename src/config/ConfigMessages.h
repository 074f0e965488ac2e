#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "include/heatherplank/Types.h"
#include "src/config/ConfigurationHead.h"

namespace heatherplank {

/** A part that differs from the version before. */
struct PartChange
{
  std::uint32_t mIndex = 0;
  PartRef mPart;

  bool operator==(const PartChange&) const = default;
};

/** "I run this version", pushed when it is new and as a digest now and then.
 * The changes, if any, lead from the head that has mBaseRoot to this one, so
 * that a receiver which holds that head needs only the changed parts.
 */
struct ConfigOffer
{
  std::uint64_t mVersion = 0;
  /** Hash of the head's text; for an agent, of its service's entry. */
  PartHash mRoot;
  PartHash mBaseRoot;
  std::string mAuthor;
  std::int64_t mTimeMs = 0;
  std::uint64_t mNonce = 0;
  std::vector<PartChange> mChanges;

  bool operator==(const ConfigOffer&) const = default;
};

/** What the sender lacks. */
struct ConfigRequest
{
  /** The version that the sender holds or, for parts, is completing. */
  std::uint64_t mVersion = 0;
  /** With an agent: its service; it gets its entry and later changes of it. */
  ServiceId mService;
  /** With an agent: hash of the entry that it holds. */
  PartHash mRoot;
  bool mWantsHead = false;
  std::vector<PartHash> mParts;

  bool operator==(const ConfigRequest&) const = default;
};

/** What was asked for, or as much of it as fits one message. */
struct ConfigObjects
{
  std::uint64_t mVersion = 0;
  /** A head's text or, for an agent, its service's entry; may be empty. */
  std::string mText;
  std::vector<std::string> mParts;

  bool operator==(const ConfigObjects&) const = default;
};

using ConfigMessage = std::variant<ConfigOffer, ConfigRequest, ConfigObjects>;

} // namespace heatherplank
