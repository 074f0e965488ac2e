#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** 128-bit hash of a part's bytes (XXH3). */
struct PartHash
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const PartHash&) const = default;
  /** 32 hexadecimal digits. */
  std::string ToString() const;
};

/** The hash of a part's bytes. Thread safe. */
PartHash HashPart(std::string_view aBytes);

/** A part of a configuration: what it holds, and which write stored it. */
struct PartRef
{
  PartHash mHash;
  /** Nonce of the write that stored it. It stands in the object's key, so
   * that no two writes share an object: the loser of a race may remove what
   * it stored, and a collected part never comes back under its old key while
   * another writer already relies on it.
   */
  std::uint64_t mWriter = 0;

  auto operator<=>(const PartRef&) const = default;
};

/** The small object whose conditional update accepts a configuration as one
 * version, however many parts it has.
 */
struct ConfigurationHead
{
  std::uint64_t mVersion = 0;
  std::string mAuthor;
  /** When it was written, milliseconds since the Unix epoch. */
  std::int64_t mTimeMs = 0;
  /** Unlike that of any other write; tells after a lost answer whose write is
   * in the store. */
  std::uint64_t mNonce = 0;
  /** The first holds all that is not a service; each service is in one of the
   * others, by its id modulo their number. */
  std::vector<PartRef> mParts;

  bool operator==(const ConfigurationHead&) const = default;
};

/** Keys of the platform's objects. All thread safe. */
namespace config_keys {
constexpr std::string_view kHead = "config/head";
constexpr std::string_view kParts = "config/part/";
constexpr std::string_view kHistory = "config/history/";
std::string Part(const PartRef& aPart);
/** The head of a version that is no longer the newest. */
std::string History(std::uint64_t aVersion);
} // namespace config_keys

/** JSON of a head; ParseHead reads it. Thread safe. */
std::string SerializeHead(const ConfigurationHead& aHead);

/** Malformed if the text is no head. Thread safe. */
Result<ConfigurationHead> ParseHead(std::string_view aText);

/** "version 7, written by ana at 2026-12-02 21:04:05 UTC". Thread safe. */
std::string DescribeHead(const ConfigurationHead& aHead);

} // namespace heatherplank
