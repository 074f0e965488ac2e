#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "src/record/Grant.h"

namespace heatherplank {

/** The grants of the keys that hash to one shard, stored as the value of one
 * platform object. No I/O or clock access; not thread safe.
 *
 * Retention is by generation. A rotation starts a new generation, keeps the
 * grants of the last one, replaces those of the one before by hashes of their
 * keys, and discards the hashes that were held until then. */
class GrantShard
{
public:
  /** Maximum number of hashes of expired keys, 8 bytes each: 320 KB. */
  static constexpr std::size_t kMaxExpiredKeys = 40000;

  /** Decodes an object's value; an empty value is a shard without grants. */
  static Result<GrantShard> Decode(std::string_view aValue);
  std::string Encode() const;

  /** The grant of a key, or null. */
  const Grant* Find(const std::string& aKey) const;
  /** True if the key's grant has expired and only its hash remains. */
  bool HasExpired(const std::string& aKey) const;
  /** Sets the grant of a key, keeping the generation of an existing one. */
  void Set(const std::string& aKey, const Grant& aGrant);
  void Remove(const std::string& aKey);
  /** Starts a new generation; see the class comment. */
  void Rotate();
  std::uint64_t Generation() const { return mGeneration; }
  std::size_t Size() const { return mCurrent.size() + mPrevious.size(); }
  /** Upper bound of the encoded size, in bytes. */
  std::size_t EncodedBound() const;

private:
  using Grants = std::map<std::string, Grant>;

  Grants mCurrent;
  Grants mPrevious;
  std::vector<std::uint64_t> mExpiredHashes;
  std::uint64_t mGeneration = 0;
};

} // namespace heatherplank
