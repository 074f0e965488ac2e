#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "include/heatherplank/Types.h"
#include "src/config/ConfigurationHead.h"

namespace heatherplank {

/** A part that differs from the previous version, with its index. */
struct PartChange
{
  std::uint32_t mIndex = 0;
  PartRef mPart;

  bool operator==(const PartChange&) const = default;
};

/** Announces the sender's version: pushed when the version comes into force,
 * and sent periodically as a digest. The changes, if any, turn the head with
 * hash mBaseRoot into this one, so that a receiver with that head needs only
 * the changed parts. An agent receives, instead of a head and parts, the
 * configuration reduced to its service (its entry). */
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

/** Requests a head, parts, or an agent's entry that the sender lacks. */
struct ConfigRequest
{
  /** The sender's version or, for parts, the version that it transfers. */
  std::uint64_t mVersion = 0;
  /** From an agent: its service, whose entry and later changes it receives. */
  ServiceId mService;
  /** From an agent: hash of the entry that it holds. */
  PartHash mRoot;
  bool mWantsHead = false;
  std::vector<PartHash> mParts;

  bool operator==(const ConfigRequest&) const = default;
};

/** Answers a ConfigRequest with as many parts as fit one message. */
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
