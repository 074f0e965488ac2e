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

/** Thread safe. */
PartHash HashPart(std::string_view aBytes);

/** Identifies a part by its content's hash and the write that stored it. */
struct PartRef
{
  PartHash mHash;
  /** Nonce of the write that stored the part. The object's key contains it, so
   * that no two writes share an object: a write that lost a race may remove the
   * parts that it stored, and a collected part never reappears under its old
   * key while another writer already relies on it.
   */
  std::uint64_t mWriter = 0;

  auto operator<=>(const PartRef&) const = default;
};

/** The object whose conditional update accepts a configuration atomically,
 * however many parts it has.
 */
struct ConfigurationHead
{
  std::uint64_t mVersion = 0;
  std::string mAuthor;
  /** Time of the write, milliseconds since the Unix epoch. */
  std::int64_t mTimeMs = 0;
  /** Unique to the write; identifies the stored write after a lost answer. */
  std::uint64_t mNonce = 0;
  /** The first part holds everything except the services. Each service is in
   * one of the other parts, at its id modulo their number. */
  std::vector<PartRef> mParts;

  bool operator==(const ConfigurationHead&) const = default;
};

/** Keys of the objects on the platform. All functions are thread safe. */
namespace config_keys {
constexpr std::string_view kHead = "config/head";
constexpr std::string_view kParts = "config/part/";
constexpr std::string_view kHistory = "config/history/";
std::string Part(const PartRef& aPart);
/** Key of the head of a version that is no longer the newest. */
std::string History(std::uint64_t aVersion);
} // namespace config_keys

/** JSON text of a head, as read by ParseHead. Thread safe. */
std::string SerializeHead(const ConfigurationHead& aHead);

/** Malformed if the text is not a valid head. Thread safe. */
Result<ConfigurationHead> ParseHead(std::string_view aText);

/** "version 7, written by ana at 2026-12-02 21:04:05 UTC". Thread safe. */
std::string DescribeHead(const ConfigurationHead& aHead);

} // namespace heatherplank
